package owners

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// Relay is another VM that may place requests for this one, and the groups of targets that it does not
// reach.
type Relay struct {
	VM        site.VM
	Unreached []uint32
}

// relay is an Owner as a Relay.
type relay struct {
	*Owner
	unreached []uint32
}

// reaches reports whether the VM reaches at least one of the groups.
func (r relay) reaches(groups []uint32) bool {
	return slices.ContainsFunc(groups, func(group uint32) bool { return !slices.Contains(r.unreached, group) })
}

// SetRelays sets the VMs that accept requests, those that reach no target included. isResponsive is asked
// about VMs that are removed: the context of an unresponsive one is canceled.
func (t *Table) SetRelays(list []Relay, isResponsive func(site.VM) bool) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	known := t.known()
	next := make([]relay, 0, len(list))
	for _, r := range list {
		next = append(next, relay{Owner: reuseOwner(known, r.VM), unreached: r.Unreached})
	}
	t.relays.Store(&next)
	t.cancelUnresponsive(known, isResponsive)
}

// known returns the owners and the relays. It must be called with updateMu held.
func (t *Table) known() []*Owner {
	all := slices.Clone(*t.others.Load())
	for _, r := range *t.relays.Load() {
		all = append(all, r.Owner)
	}
	return all
}

// cancelUnresponsive cancels the contexts of VMs that are in no list any more and unresponsive.
func (t *Table) cancelUnresponsive(old []*Owner, isResponsive func(site.VM) bool) {
	current := t.known()
	for _, o := range old {
		if !slices.Contains(current, o) && !isResponsive(o.VM) {
			o.cancel()
		}
	}
}

// reachOf is a part of the fleet, and how many of its VMs must reach targets for each that does not, this
// VM included. Otherwise those that do would get too many requests, and further VMs are used.
type reachOf struct {
	includes func(vm site.VM) bool
	perCut   int
}

// SlowRelay returns the VM that should place a request that Relay finds none for: the first by rendezvous of
// the key among those that are only avoided as they are slow or busy, nil if there is none. A VM that reaches
// no target has no other choice than these.
func (t *Table) SlowRelay(key uint64, now time.Time, groups []uint32, accepts func(o *Owner) bool) *Owner {
	var best *Owner
	lowest := 0.0
	for _, r := range *t.relays.Load() {
		if !r.isSlow(now) || r.hasFailed(now) || !r.reaches(groups) || !accepts(r.Owner) {
			continue
		}
		if rank := r.rank(key); best == nil || rank < lowest {
			best, lowest = r.Owner, rank
		}
	}
	return best
}

// Relay returns the VM that should place a request whose targets this VM does not reach, nil if there is
// none: one of this failure domain, of the region or of the fleet that reaches a target of one of the
// groups. accepts may exclude VMs. The requests of a key go to the same VM.
func (t *Table) Relay(key uint64, now time.Time, groups []uint32, accepts func(o *Owner) bool) *Owner {
	for _, part := range []reachOf{
		{includes: func(vm site.VM) bool { return vm.Zone == t.own.Zone }, perCut: 2},
		{includes: func(vm site.VM) bool { return vm.Region == t.own.Region }, perCut: 1},
		{includes: func(site.VM) bool { return true }},
	} {
		reaching, cut := 0, 1
		var best *Owner
		lowest := 0.0
		for _, r := range *t.relays.Load() {
			if !part.includes(r.VM) {
				continue
			}
			if !r.reaches(groups) {
				cut++
				continue
			}
			reaching++
			if rank := r.rank(key); (best == nil || rank < lowest) && !r.isAvoided(now) && accepts(r.Owner) {
				best, lowest = r.Owner, rank
			}
		}
		if best != nil && reaching >= part.perCut*cut {
			return best
		}
	}
	return nil
}
