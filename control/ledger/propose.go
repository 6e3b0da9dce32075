package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// proposal is a write whose outcome is not known yet. It carries the next amounts
// of each node that is marked as proposed.
type proposal struct {
	value   []byte
	removed map[grant.NodeID]bool
	// hasPlan and hasRelease are true if the write carries a new plan or a
	// release.
	hasPlan, hasRelease bool
}

// Pending reports whether the outcome of a proposed write is still unknown.
func (l *Ledger) Pending() bool { return l.pending != nil }

// Rewrite returns the first write of a decider: the ledger as loaded, with the
// new epoch. It fences off earlier deciders, whose writes expect an older
// revision.
func (l *Ledger) Rewrite(now time.Time) []byte {
	for _, h := range l.order {
		copy(h.next, h.reserved)
	}
	return l.startWrite(nil, now)
}

// Propose computes the next amounts of each node and returns the record to
// write, or nil if the stored one covers them. Raises come only out of capacity
// not in force anywhere, so a capacity lowered below that allows none.
func (l *Ledger) Propose(now time.Time) []byte {
	if l.pending != nil {
		return l.pending.value
	}
	removed := l.removableNodes(now)
	room := l.headroom(now, removed)
	covered := true
	lower := len(removed) > 0
	l.computeNext(removed, room, now)
	for _, h := range l.order {
		for k, n := range h.next {
			covered = covered && n.within(h.reserved[k])
			lower = lower || n != h.reserved[k]
		}
	}
	if !covered || l.writeDue(lower, now) {
		return l.startWrite(removed, now)
	}
	for _, h := range l.order {
		h.allowed, h.next = h.next, h.allowed
	}
	return nil
}

// writeDue reports whether to write although the stored ledger covers all amounts.
func (l *Ledger) writeDue(lower bool, now time.Time) bool {
	if l.planUnsaved || l.releaseUnsaved {
		return true
	}
	if !lower {
		l.reductionDue = time.Time{}
		return false
	}
	if l.reductionDue.IsZero() {
		l.reductionDue = now.Add(l.params.ReductionInterval)
	}
	return !now.Before(l.reductionDue)
}

// startWrite encodes the pending write. Until its outcome is known, only the
// smaller of the old and new amounts may be issued, because the next decider may
// read either.
func (l *Ledger) startWrite(removed map[grant.NodeID]bool, now time.Time) []byte {
	l.writeNumber++
	l.pending = &proposal{
		value:      l.encode(removed, now),
		removed:    removed,
		hasPlan:    l.planUnsaved,
		hasRelease: l.releaseUnsaved,
	}
	l.recordSize = len(l.pending.value)
	for _, h := range l.order {
		h.proposed = true
		for k, n := range h.next {
			if l.params.Faults.SendBeforeWrite {
				h.allowed[k] = n
				continue
			}
			h.allowed[k] = h.allowed[k].min(n)
		}
	}
	return l.pending.value
}

// ConfirmWrite records that the pending write took effect.
func (l *Ledger) ConfirmWrite() {
	p := l.pending
	if p == nil {
		return
	}
	l.pending = nil
	l.rewritten = true
	l.reductionDue = time.Time{}
	l.releaseUnsaved = l.releaseUnsaved && !p.hasRelease
	l.planUnsaved = l.planUnsaved && !p.hasPlan
	l.removeNodes(p.removed)
	for _, h := range l.order {
		if !h.proposed {
			// The node was added after the write was proposed.
			continue
		}
		h.proposed = false
		h.reserved, h.next = h.next, h.reserved
		copy(h.allowed, h.reserved)
	}
}

// DiscardWrite records that the pending write did not and will not take effect.
// A write with an unknown outcome must be retried instead.
func (l *Ledger) DiscardWrite() {
	l.pending = nil
	for _, h := range l.order {
		h.proposed = false
		copy(h.allowed, h.reserved)
	}
}
