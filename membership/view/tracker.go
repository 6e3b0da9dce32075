package view

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// tracker builds snapshots from readings. It does no I/O and reads no clock.
type tracker struct {
	options Options
	records map[string]*record
	// revision counts the readings whose rows changed.
	revision uint64
	last     *Snapshot
	// rows holds the rows of the last reading before normalization.
	rows []membership.VM
	// heldDown is set while a VM is in hold-down.
	heldDown bool
}

func newTracker(options Options) *tracker {
	return &tracker{
		options: options,
		records: map[string]*record{},
		last:    &Snapshot{},
	}
}

// update returns the snapshot after a reading at now, or nil if the list or the
// reading is older than the last one: an older list would bring back terminated
// VMs and hide new ones.
func (t *tracker) update(list membership.List, now time.Time) *Snapshot {
	if t.last.List.Later(list) || now.Before(t.last.ReadAt) {
		return nil
	}
	vms := t.last.List.VMs
	same := slices.Equal(list.VMs, t.rows)
	if !same {
		t.applyRows(list.VMs, now)
	}
	if !same || t.heldDown {
		vms = t.usable(now)
	}
	t.expireAbsent(now)
	next := &Snapshot{
		List:    membership.List{VMs: vms, Epoch: list.Epoch, Sequence: list.Sequence},
		ReadAt:  now,
		Absent:  t.absent(now),
		Version: t.last.Version,
	}
	if differs(t.last, next) {
		next.Version++
	}
	t.last = next
	return next
}

func (t *tracker) applyRows(vms []membership.VM, now time.Time) {
	t.revision++
	t.rows = vms
	rows := membership.Normalize(vms)
	t.updateListed(rows, now)
	t.updateAbsent(rows, now)
}

func (t *tracker) updateListed(rows []membership.VM, now time.Time) {
	for _, vm := range rows {
		r := t.records[vm.ID]
		switch {
		case r == nil:
			r = &record{listed: true, since: now, shownFrom: now, listedRevision: t.revision}
			t.records[vm.ID] = r
		case !r.listed:
			r.markListed(now, t.revision, t.options)
		}
		r.vm = vm
	}
}

func (t *tracker) updateAbsent(rows []membership.VM, now time.Time) {
	listed := byID(rows)
	for id, r := range t.records {
		if _, ok := listed[id]; !ok && r.listed {
			r.markAbsent(now, t.options)
		}
	}
}

// expireAbsent deletes absent VMs past their retention, and the oldest ones above
// MaxAbsent.
func (t *tracker) expireAbsent(now time.Time) {
	var absent []*record
	for id, r := range t.records {
		switch {
		case r.listed:
		case now.Sub(r.since) > t.options.AbsentRetention:
			delete(t.records, id)
		default:
			absent = append(absent, r)
		}
	}
	excess := len(absent) - t.options.MaxAbsent
	if excess <= 0 {
		return
	}
	slices.SortFunc(absent, func(a, b *record) int {
		return cmp.Or(a.since.Compare(b.since), strings.Compare(a.vm.ID, b.vm.ID))
	})
	for _, r := range absent[:excess] {
		delete(t.records, r.vm.ID)
	}
}

// usable returns the VMs for Snapshot.List, sorted by ID.
func (t *tracker) usable(now time.Time) []membership.VM {
	owners := t.owners()
	t.heldDown = false
	var vms []membership.VM
	for _, r := range t.records {
		if !r.listed || owners[endpointOf(r.vm)] != r {
			continue
		}
		if now.Before(r.shownFrom) {
			t.heldDown = true
			continue
		}
		vms = append(vms, r.vm)
	}
	slices.SortFunc(vms, func(a, b membership.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// owners returns the current VM of each address. While the list still holds the
// previous VM of a reused address, the one listed last has it.
func (t *tracker) owners() map[endpoint]*record {
	owners := map[endpoint]*record{}
	for _, r := range t.records {
		if !r.listed {
			continue
		}
		address := endpointOf(r.vm)
		if owner := owners[address]; owner == nil || r.isLater(owner) {
			owners[address] = r
		}
	}
	return owners
}

// isLater reports whether the VM was listed after another with the same address.
// Ties are broken by state and ID, so that all nodes choose the same VM.
func (r *record) isLater(other *record) bool {
	return cmp.Or(
		cmp.Compare(r.listedRevision, other.listedRevision),
		cmp.Compare(other.vm.State, r.vm.State),
		strings.Compare(r.vm.ID, other.vm.ID),
	) > 0
}

func (t *tracker) absent(now time.Time) []AbsentVM {
	var absent []AbsentVM
	for _, r := range t.records {
		if !r.listed {
			absent = append(absent, AbsentVM{VM: r.vm, Since: r.since, Confirmed: now})
		}
	}
	slices.SortFunc(absent, func(a, b AbsentVM) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	return absent
}

func differs(before, after *Snapshot) bool {
	return !slices.Equal(before.List.VMs, after.List.VMs) ||
		!slices.EqualFunc(before.Absent, after.Absent, func(a, b AbsentVM) bool { return a.VM.ID == b.VM.ID })
}
