package view

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// tracker folds readings into snapshots. It makes no calls and reads no clock.
type tracker struct {
	options Options
	records map[string]*record
	order   uint64
	last    *Snapshot
	// rows are those of the last reading, as it gave them.
	rows []membership.VM
	// waiting is set while a VM that returned is not shown yet.
	waiting bool
}

func newTracker(options Options) *tracker {
	return &tracker{
		options: options,
		records: map[string]*record{},
		last:    &Snapshot{},
	}
}

// fold returns the snapshot after a reading made at now, or nil if the list or
// the reading is older than the last one. An older list would bring VMs back
// that ended, and hide new ones.
func (t *tracker) fold(list membership.List, now time.Time) *Snapshot {
	if t.last.List.Later(list) || now.Before(t.last.ReadAt) {
		return nil
	}
	shown := t.last.List.VMs
	same := slices.Equal(list.VMs, t.rows)
	if !same {
		t.note(list.VMs, now)
	}
	if !same || t.waiting {
		shown = t.shown(now)
	}
	t.forget(now)
	next := &Snapshot{
		List:    membership.List{VMs: shown, Epoch: list.Epoch, Sequence: list.Sequence},
		ReadAt:  now,
		Absent:  t.gone(now),
		Version: t.last.Version,
	}
	if changed(t.last, next) {
		next.Version++
	}
	t.last = next
	return next
}

// note takes over rows that differ from those of the last reading.
func (t *tracker) note(vms []membership.VM, now time.Time) {
	t.order++
	t.rows = vms
	rows := membership.Normalize(vms)
	t.noteListed(rows, now)
	t.noteGone(rows, now)
}

func (t *tracker) noteListed(rows []membership.VM, now time.Time) {
	for _, vm := range rows {
		r := t.records[vm.ID]
		switch {
		case r == nil:
			r = &record{listed: true, since: now, shownFrom: now, order: t.order}
			t.records[vm.ID] = r
		case !r.listed:
			r.enter(now, t.order, t.options)
		}
		r.vm = vm
	}
}

func (t *tracker) noteGone(rows []membership.VM, now time.Time) {
	listed := byID(rows)
	for id, r := range t.records {
		if _, ok := listed[id]; !ok && r.listed {
			r.leave(now, t.options)
		}
	}
}

// forget drops VMs gone for long, and the longest gone above the bound.
func (t *tracker) forget(now time.Time) {
	var gone []*record
	for id, r := range t.records {
		switch {
		case r.listed:
		case now.Sub(r.since) > t.options.AbsentRetention:
			delete(t.records, id)
		default:
			gone = append(gone, r)
		}
	}
	excess := len(gone) - t.options.MaxAbsent
	if excess <= 0 {
		return
	}
	slices.SortFunc(gone, func(a, b *record) int {
		return cmp.Or(a.since.Compare(b.since), strings.Compare(a.vm.ID, b.vm.ID))
	})
	for _, r := range gone[:excess] {
		delete(t.records, r.vm.ID)
	}
}

// shown returns the VMs that may be used, sorted by ID.
func (t *tracker) shown(now time.Time) []membership.VM {
	owners := t.owners()
	t.waiting = false
	var vms []membership.VM
	for _, r := range t.records {
		if !r.listed || owners[endpointOf(r.vm)] != r {
			continue
		}
		if now.Before(r.shownFrom) {
			t.waiting = true
			continue
		}
		vms = append(vms, r.vm)
	}
	slices.SortFunc(vms, func(a, b membership.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// owners returns the VM that has each address. A new VM gets the address of
// one that ended, while the list may still show the old one: the one listed
// last is there now.
func (t *tracker) owners() map[endpoint]*record {
	owners := map[endpoint]*record{}
	for _, r := range t.records {
		if !r.listed {
			continue
		}
		at := endpointOf(r.vm)
		if owner := owners[at]; owner == nil || r.isLater(owner) {
			owners[at] = r
		}
	}
	return owners
}

// isLater orders two VMs of one address. Those that came in one reading are
// ordered by state and ID, so that all nodes choose the same one.
func (r *record) isLater(other *record) bool {
	return cmp.Or(
		cmp.Compare(r.order, other.order),
		cmp.Compare(other.vm.State, r.vm.State),
		strings.Compare(r.vm.ID, other.vm.ID),
	) > 0
}

func (t *tracker) gone(now time.Time) []AbsentVM {
	var gone []AbsentVM
	for _, r := range t.records {
		if !r.listed {
			gone = append(gone, AbsentVM{VM: r.vm, Since: r.since, Confirmed: now})
		}
	}
	slices.SortFunc(gone, func(a, b AbsentVM) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	return gone
}

func changed(before, after *Snapshot) bool {
	return !slices.Equal(before.List.VMs, after.List.VMs) ||
		!slices.EqualFunc(before.Absent, after.Absent, func(a, b AbsentVM) bool { return a.VM.ID == b.VM.ID })
}
