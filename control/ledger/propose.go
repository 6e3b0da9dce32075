package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// proposal is a write of which it is not known yet that it took effect. The
// amounts it carries are the next of each holding that is proposed.
type proposal struct {
	value   []byte
	removed map[grant.NodeID]bool
	// hasPlan and hasRelease tell what the write carries.
	hasPlan, hasRelease bool
}

// Pending reports whether a write has been proposed and not been settled.
func (l *Ledger) Pending() bool { return l.pending != nil }

// Rewrite returns the first write of a decider: the ledger as it was read,
// under the new epoch. After it no write of an earlier decider can succeed,
// because each expects a revision that is gone.
func (l *Ledger) Rewrite(now time.Time) []byte {
	for _, h := range l.order {
		copy(h.next, h.reserved)
	}
	return l.startWrite(nil, now)
}

// Propose works out what each node may have next and returns the bytes to
// write, or nil when what the store holds covers it. A raise is given only out
// of what is free after everything that may be in force has been counted, so
// that under a capacity that was lowered below that there is no raise at all.
func (l *Ledger) Propose(now time.Time) []byte {
	if l.pending != nil {
		return l.pending.value
	}
	gone := l.removableNodes(now)
	room := l.headroom(now, gone)
	covered := true
	lower := len(gone) > 0
	for _, h := range l.order {
		l.computeNext(h, gone[h.node.ID], room, now)
		for k, n := range h.next {
			covered = covered && n.within(h.reserved[k])
			lower = lower || n != h.reserved[k]
		}
	}
	if !covered || l.writeDue(lower, now) {
		return l.startWrite(gone, now)
	}
	for _, h := range l.order {
		h.allowed, h.next = h.next, h.allowed
	}
	return nil
}

// writeDue reports whether a write is writeDue although the store's ledger covers all
// amounts.
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

// startWrite makes the write. Until it is settled the smaller of the old and the
// new amounts may be sent: the next decider will read one of the two.
func (l *Ledger) startWrite(gone map[grant.NodeID]bool, now time.Time) []byte {
	l.writeNumber++
	l.pending = &proposal{
		value:      l.encode(gone, now),
		removed:    gone,
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

// ConfirmWrite settles the pending write as taken effect.
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
			// The node was added after the write was made.
			continue
		}
		h.proposed = false
		h.reserved, h.next = h.next, h.reserved
		copy(h.allowed, h.reserved)
	}
}

// DiscardWrite settles the pending write as one that did not happen and will
// not. For a write with an unknown outcome that is wrong: it must be repeated.
func (l *Ledger) DiscardWrite() {
	l.pending = nil
	for _, h := range l.order {
		h.proposed = false
		copy(h.allowed, h.reserved)
	}
}
