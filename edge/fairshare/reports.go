package fairshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxSent is how many accounts of a service are sent, those with the most work. Accounts with less
	// work are served first anyway, so that theirs need not be known.
	MaxSent = 16
	// MaxReported is how many accounts a VM reports in all. With 64, that is MaxSent of each of four services, its
	// reports would take 3 KB a second, which is all that its control traffic may take.
	MaxReported = 20
	// ReportTTL is how long after its last report the work of a VM counts.
	ReportTTL = 2 * time.Second
	// sentAfterQueue is how long after its last waiting request a VM sends its work.
	sentAfterQueue = 10 * time.Second
	// minSent is the least work in seconds that is sent.
	minSent = 0.005
)

// Part is the work of one account as it is sent.
type Part struct {
	Key
	Work time.Duration
}

// report is the work that another VM, or a group of VMs, has reported, in seconds as of at.
type report struct {
	work map[Key]float64
	// local is set if the report is that of one VM of this region, totals if it is of all VMs.
	local, totals bool
	at            time.Time
}

func (t *Table) reportedByOthers(now time.Time, key Key) float64 {
	work := 0.0
	for _, r := range t.reports {
		work += decayed(r.work[key], now.Sub(r.at))
	}
	return work
}

// SetReport replaces the report of another VM, of this region if local is set, or of another region.
func (t *Table) SetReport(now time.Time, from string, parts []Part, local bool) {
	r := &report{work: make(map[Key]float64, len(parts)), local: local, at: now}
	for _, p := range parts {
		r.work[p.Key] += max(0, p.Work.Seconds())
	}
	t.replace(now, from, r)
}

// SetTotals replaces the totals over all VMs, which contain the last report of this VM.
func (t *Table) SetTotals(now time.Time, from string, parts []Part) {
	r := &report{work: make(map[Key]float64, len(parts)), totals: true, at: now}
	for _, p := range parts {
		own := decayed(t.reported[p.Key], now.Sub(t.reportedAt))
		r.work[p.Key] += max(0, p.Work.Seconds()-own)
	}
	t.replace(now, from, r)
}

// replace replaces a report, nil for none, and updates the accounts in either.
func (t *Table) replace(now time.Time, from string, r *report) {
	old := t.reports[from]
	delete(t.reports, from)
	if r != nil {
		t.reports[from] = r
	}
	if old != nil {
		t.addToOthers(now, old, -decayed(1, now.Sub(old.at)))
	}
	if r != nil {
		t.addToOthers(now, r, 1)
	}
}

// addToOthers adds a multiple of the work of a report to that of the accounts.
func (t *Table) addToOthers(now time.Time, r *report, factor float64) {
	for key, work := range r.work {
		if element, ok := t.entries[key]; ok {
			e := element.Value.(*entry)
			e.decay(now)
			e.others = max(0, e.others+factor*work)
		}
	}
}

// Expire drops the work of VMs that have not reported for ReportTTL.
func (t *Table) Expire(now time.Time) {
	for from, r := range t.reports {
		if now.Sub(r.at) >= ReportTTL {
			t.replace(now, from, nil)
		}
	}
}

// Report returns the work of this VM for a report, nil if no request has waited lately.
func (t *Table) Report(now time.Time) []Part {
	parts := t.ownWork(now)
	if len(parts) > MaxReported {
		slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(b.Work, a.Work) })
		parts = parts[:MaxReported]
		slices.SortFunc(parts, compareGroups)
	}
	if len(parts) == 0 && now.Sub(t.reportedAt) < ReportTTL {
		// The totals may still contain the last report.
		return nil
	}
	t.reported, t.reportedAt = make(map[Key]float64, len(parts)), now
	for _, p := range parts {
		t.reported[p.Key] = p.Work.Seconds()
	}
	return parts
}

func (t *Table) ownWork(now time.Time) []Part {
	if t.queuedAt.IsZero() || now.Sub(t.queuedAt) > sentAfterQueue {
		return nil
	}
	sums := make(map[Key]float64, len(t.entries))
	for key, element := range t.entries {
		e := element.Value.(*entry)
		e.decay(now)
		sums[key] = e.own
	}
	return mostWork(sums)
}

// Sums returns the work of all VMs of this region, for other regions. With all set it includes that of the
// other regions, for the VMs of this one. Totals from another VM are left out, as the sums of two VMs that send
// totals to each other would grow without end.
func (t *Table) Sums(now time.Time, all bool) []Part {
	sums := make(map[Key]float64)
	for _, p := range t.ownWork(now) {
		sums[p.Key] += p.Work.Seconds()
	}
	for _, r := range t.reports {
		if r.totals || !r.local && !all || now.Sub(r.at) >= ReportTTL {
			continue
		}
		for key, work := range r.work {
			sums[key] += decayed(work, now.Sub(r.at))
		}
	}
	return mostWork(sums)
}

// mostWork returns the MaxSent accounts of each service with the most work, by service and region.
func mostWork(sums map[Key]float64) (parts []Part) {
	for key, work := range sums {
		if work >= minSent {
			parts = append(parts, Part{Key: key, Work: duration(work)})
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Work, a.Work), cmp.Compare(a.Region, b.Region), cmp.Compare(a.Account, b.Account))
	})
	kept, sent := parts[:0], 0
	for i, p := range parts {
		if i > 0 && parts[i-1].Service != p.Service {
			sent = 0
		}
		if sent++; sent <= MaxSent {
			kept = append(kept, p)
		}
	}
	slices.SortStableFunc(kept, compareGroups)
	return kept
}

// compareGroups orders parts by service and region, as Encode needs them.
func compareGroups(a, b Part) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
}

// Named is the work of an account by its name.
type Named struct {
	Service, Account string
	Work             time.Duration
}

// Largest returns the work of the accounts of this VM that are sent, in all regions, for metrics.
func (t *Table) Largest(now time.Time) (list []Named) {
	for _, p := range t.ownWork(now) {
		e := t.entries[p.Key].Value.(*entry)
		if e.name == "" {
			continue
		}
		same := func(n Named) bool { return n.Service == p.Service && n.Account == e.name }
		if i := slices.IndexFunc(list, same); i >= 0 {
			list[i].Work += duration(e.own + e.others)
			continue
		}
		list = append(list, Named{Service: p.Service, Account: e.name, Work: duration(e.own + e.others)})
	}
	return list
}
