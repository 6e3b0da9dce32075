package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// ListedVM is one entry VM as the VM list shows it.
type ListedVM struct {
	VM, Address string
}

// ObserveVMs takes in a reading of the VM list that was made at readAt. Sequence
// must be above 0. Only a list at least as new as one that showed a node can
// tell that it is gone: a decider whose list lags behind its predecessor's would
// take a new VM for an ended one.
//
// The time of the reading counts, not that of the call: while the list service
// is out the same reading is offered again and again, and the VM may have
// returned unseen.
func (l *Ledger) ObserveVMs(list []ListedVM, sequence uint64, readAt time.Time) {
	shown := make(map[ListedVM]bool, len(list))
	for _, v := range list {
		shown[v] = true
	}
	for _, h := range l.order {
		if shown[ListedVM{VM: h.node.ID.VM, Address: h.node.Address}] {
			h.node.ListSequence = max(h.node.ListSequence, sequence)
			h.unlistedSince = time.Time{}
			continue
		}
		older := sequence < h.node.ListSequence && !l.params.Faults.TrustOldVMList
		if older {
			continue
		}
		if h.unlistedSince.IsZero() {
			h.unlistedSince = readAt
		}
		h.lastUnlisted = readAt
	}
}

// removableNodes returns the nodes whose floors may be given to others.
func (l *Ledger) removableNodes(now time.Time) map[grant.NodeID]bool {
	var gone map[grant.NodeID]bool
	for _, h := range l.order {
		if !l.canRemove(h, now) {
			continue
		}
		if gone == nil {
			gone = make(map[grant.NodeID]bool)
		}
		gone[h.node.ID] = true
	}
	return gone
}

// canRemove reports whether a node has certainly canRemove or holds nothing. Silence
// alone proves nothing: a node that is cut off goes on with its floors.
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

// replacedOnSameVM reports whether another life of the same VM at the same address
// has been heard for the removal time while this one was silent. The VM list
// goes on to show the VM, so it can never tell that the first life ended, and
// its floors would be lost for good. Both lives share the network of the VM,
// so the silent one has ended or is not scheduled, and a process that was not
// scheduled for so long drops its floors by itself.
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
