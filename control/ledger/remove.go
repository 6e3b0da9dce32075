package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// ListedVM is an entry VM in the VM list.
type ListedVM struct {
	VM, Address string
}

// ObserveVMs records a VM list that was read at readAt; sequence must be positive. A
// list older than one that contained a node is no evidence that the node has ended.
// readAt counts, not the time of the call: during an outage of the list service the
// same reading is passed repeatedly, and the VM may be back.
func (l *Ledger) ObserveVMs(list []ListedVM, sequence uint64, readAt time.Time) {
	listed := make(map[ListedVM]bool, len(list))
	for _, v := range list {
		listed[v] = true
	}
	for _, h := range l.order {
		if listed[ListedVM{VM: h.node.ID.VM, Address: h.node.Address}] {
			h.node.ListSequence = max(h.node.ListSequence, sequence)
			h.unlistedSince = time.Time{}
			continue
		}
		stale := sequence < h.node.ListSequence && !l.params.Faults.TrustOldVMList
		if stale {
			continue
		}
		if h.unlistedSince.IsZero() {
			h.unlistedSince = readAt
		}
		h.lastUnlisted = readAt
	}
}

// removableNodes returns the nodes whose floors may be reassigned.
func (l *Ledger) removableNodes(now time.Time) map[grant.NodeID]bool {
	var removed map[grant.NodeID]bool
	for _, h := range l.order {
		if !l.canRemove(h, now) {
			continue
		}
		if removed == nil {
			removed = make(map[grant.NodeID]bool)
		}
		removed[h.node.ID] = true
	}
	return removed
}

// canRemove reports whether a node has certainly ended or holds nothing. Lack of
// contact alone is not enough: a partitioned node keeps using its floors.
func (l *Ledger) canRemove(h *nodeGrants, now time.Time) bool {
	if l.params.Faults.FreeUnreachableFloors {
		return !now.Before(h.latestUntil) && !now.Before(h.olderUntil)
	}
	wait := l.params.WithMargin(l.params.RemovalTime)
	if now.Sub(h.lastContact) < wait {
		return false
	}
	if l.holdsNothing(h, now) {
		return true
	}
	if !h.unlistedSince.IsZero() && h.lastUnlisted.Sub(h.unlistedSince) >= wait {
		return true
	}
	return l.replacedOnSameVM(h, now, wait)
}

func (l *Ledger) holdsNothing(h *nodeGrants, now time.Time) bool {
	for k := range l.keys {
		if h.inForce(k, now) != (Amounts{}) {
			return false
		}
	}
	return true
}

// replacedOnSameVM reports whether another incarnation on the same VM has been in
// contact for the removal time while this one was not. Both share the VM's network, so
// this one has ended or is paused long enough to drop its floors. The VM list cannot
// show that, because the VM stays listed.
func (l *Ledger) replacedOnSameVM(h *nodeGrants, now time.Time, wait time.Duration) bool {
	for _, o := range l.order {
		if o == h || o.node.ID.VM != h.node.ID.VM || o.node.Address != h.node.Address {
			continue
		}
		recent := now.Sub(o.lastContact) < l.params.SurplusTTL
		if recent && o.firstContact.After(h.lastContact) && now.Sub(o.firstContact) >= wait {
			return true
		}
	}
	return false
}
