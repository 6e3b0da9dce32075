package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/edge/targetload"
)

const (
	// aggregatedReportAge is the usual age of the counts in an aggregated report when it arrives: a
	// VM's report and the digest wait up to 150 ms each.
	aggregatedReportAge = 200 * time.Millisecond
	// directReportAge is the same for the report of a single VM.
	directReportAge = 20 * time.Millisecond
)

// targetLoad is what is known of a target that states its load with its pace; nil for others.
type targetLoad struct {
	targetload.Belief
	// paces is that of the service.
	paces *targetload.Persistence
	// registered is the registered number of slots.
	registered int
	// told is set if the pace was last learned from another VM.
	told bool
	// ratio is that of the last request's time to the expected one, and slowdown the smoothed one, both
	// seen at ratioAt.
	ratio, slowdown float64
	ratioAt         time.Time
}

// TargetStatesLoad records the load that a target states in an answer that arrives now. counted is false
// for answers to health probes, which are not among the requests in flight. Statements without a pace
// change nothing. It reports whether the target's number of slots changes.
func (b *Balancer) TargetStatesLoad(now time.Time, t *Target, l site.Load, counted bool) (slotsChanged bool) {
	if !b.options.Policy.StatedLoad || !l.Known || l.Pace <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[t.Service]
	if s == nil {
		return false
	}
	own := t.local
	if counted {
		own--
	}
	load, at := t.ensureLoad(s), now.Add(-t.rtt/2)
	before, beforeAt, known := load.Pace()
	stated := targetload.Stated{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace}
	if !load.Observe(at, stated, max(0, own), load.registered) {
		return false
	}
	load.told = false
	load.paces.Observe(l.Pace)
	if known {
		load.paces.ObservePair(before, l.Pace, at.Sub(beforeAt))
	}
	b.hold(t)
	slots := t.Slots
	t.Slots = load.Slots(load.registered)
	return t.Slots != slots
}

// ensureLoad returns the load of a target of a service.
func (t *Target) ensureLoad(s *service) *targetLoad {
	if t.load == nil {
		if s.paces == nil {
			s.paces = targetload.NewPersistence()
		}
		t.load = &targetLoad{paces: s.paces, registered: t.Slots}
	}
	return t.load
}

// hold remembers a target whose stated counts are newer than the reports of other VMs.
func (b *Balancer) hold(t *Target) {
	for _, held := range b.held {
		if held == t {
			return
		}
	}
	b.held = append(b.held, t)
}

// releaseHeld ends the validity of stated counts that reports of other VMs have replaced.
func (b *Balancer) releaseHeld(now time.Time) {
	if len(b.held) == 0 {
		return
	}
	reportedAt := b.reportedAt()
	kept := b.held[:0]
	for _, t := range b.held {
		covers := reportedAt
		if t.Region != b.options.Region {
			// Reports of other regions come every 0.5 s, which is longer than counts are held.
			covers = time.Time{}
		}
		if !t.load.Release(now, covers) {
			kept = append(kept, t)
		}
	}
	clear(b.held[len(kept):])
	b.held = kept
}

// reportedAt returns when the oldest of the counts was made that the VMs of this region report, zero if
// there are no reports.
func (b *Balancer) reportedAt() (oldest time.Time) {
	for _, p := range b.peers {
		if _, local := p.Demand[b.options.Region]; !local {
			continue
		}
		at := p.At.Add(-directReportAge)
		if p.Aggregated {
			at = p.At.Add(-aggregatedReportAge)
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// others returns the number of requests of other VMs, of which their reports count reported.
func (l *targetLoad) others(reported int) int {
	if l == nil {
		return reported
	}
	return l.Others(reported)
}

// slotsOf returns the number of slots of a target that is registered with some.
func (l *targetLoad) slotsOf(registered int) int {
	if l == nil {
		return registered
	}
	l.registered = registered
	return l.Slots(registered)
}

// paceFactor returns the expected factor of the time of work that is sent to the target now, 1 for a
// target that does not state its pace. work is the time at the service's mean pace.
func (t *Target) paceFactor(now time.Time, work time.Duration) float64 {
	if t.load == nil {
		return 1
	}
	pace, at, ok := t.load.Pace()
	if !ok {
		return 1
	}
	return t.load.paces.Factor(pace, now.Sub(at)+t.rtt/2, work)
}

// atMeanPace converts the time of a run that ended now to what it would have been at the service's mean
// pace, and returns the factor between them. Service times and slowdown are estimated from it, so that a
// moment's slowness of the machine is not attributed to the target.
func (t *Target) atMeanPace(now time.Time, took time.Duration) (converted time.Duration, factor float64) {
	if t.load == nil {
		return took, 1
	}
	pace, at, ok := t.load.Pace()
	if !ok {
		return took, 1
	}
	age := max(0, now.Add(-t.rtt/2).Sub(at))
	factor = t.load.paces.Factor(pace, age, took)
	return time.Duration(float64(took) / factor), factor
}

// recordRatio records the ratio of actual to expected service time of a request. If the target has stated
// its pace since the request was sent, the lower one of two successive ratios counts: the work of a
// single request may be long by itself.
func (l *targetLoad) recordRatio(now, sentAt time.Time, ratio, smoothing float64) {
	if l == nil {
		return
	}
	before := 1.0
	if now.Sub(l.ratioAt) < observationTTL {
		before = l.ratio
	}
	confirmed := ratio
	if l.StatedSince(sentAt) {
		confirmed = min(ratio, before)
	}
	slowdown := l.confirmedSlowdown(now)
	l.slowdown = slowdown + smoothing*(confirmed-slowdown)
	l.ratio, l.ratioAt = ratio, now
}

// confirmedSlowdown returns the slowdown by recordRatio adjusted for its age; it is at least 1.
func (l *targetLoad) confirmedSlowdown(now time.Time) float64 {
	freshness := 1 - float64(now.Sub(l.ratioAt))/float64(observationTTL)
	return 1 + max(0, l.slowdown-1)*max(0, freshness)
}

// expected returns the expected completion time of a request whose cost is known. The cost includes the
// slowdown after a single long request, since that request holds a slot. It is not expected to slow
// others.
func (t *Target) expected(now time.Time, cost time.Duration) time.Duration {
	if t.load == nil {
		return cost
	}
	part := min(1, t.load.confirmedSlowdown(now)/t.currentSlowdown(now))
	return t.rtt + time.Duration(part*float64(cost-t.rtt))
}

// lastPace returns the last known pace of the target and its age, 0 for none.
func (l *targetLoad) lastPace(now time.Time) (pace float64, age time.Duration) {
	if l == nil {
		return 0, 0
	}
	pace, at, ok := l.Pace()
	if !ok {
		return 0, 0
	}
	return pace, now.Sub(at)
}
