package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// proposal is a write of which it is not known yet that it took effect. The
// amounts it carries are the next of each holding that is proposed.
type proposal struct {
	value []byte
	gone  map[grant.NodeID]bool
	// newPlan and released tell what the write carries.
	newPlan, released bool
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
	return l.pend(nil, now)
}

// Propose works out what each node may have next and returns the bytes to
// write, or nil when what the store holds covers it. A raise is given only out
// of what is free after everything that may be in force has been counted, so
// that under a capacity that was lowered below that there is no raise at all.
func (l *Ledger) Propose(now time.Time) []byte {
	if l.pending != nil {
		return l.pending.value
	}
	gone := l.removable(now)
	room := l.room(now, gone)
	covered := true
	lower := len(gone) > 0
	for _, h := range l.order {
		l.fillNext(h, gone[h.node.ID], room, now)
		for k, n := range h.next {
			covered = covered && n.within(h.reserved[k])
			lower = lower || n != h.reserved[k]
		}
	}
	if !covered || l.due(lower, now) {
		return l.pend(gone, now)
	}
	for _, h := range l.order {
		h.allowed, h.next = h.next, h.allowed
	}
	return nil
}

// due reports whether a write is due although the store's ledger covers all
// amounts.
func (l *Ledger) due(lower bool, now time.Time) bool {
	if l.newPlan || l.released {
		return true
	}
	if !lower {
		l.lowerDue = time.Time{}
		return false
	}
	if l.lowerDue.IsZero() {
		l.lowerDue = now.Add(l.params.ReductionInterval)
	}
	return !now.Before(l.lowerDue)
}

// pend makes the write. Until it is settled the smaller of the old and the
// new amounts may be sent: the next decider will read one of the two.
func (l *Ledger) pend(gone map[grant.NodeID]bool, now time.Time) []byte {
	l.write++
	l.pending = &proposal{
		value:    l.encode(gone, now),
		gone:     gone,
		newPlan:  l.newPlan,
		released: l.released,
	}
	l.bytes = len(l.pending.value)
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
	l.lowerDue = time.Time{}
	l.released = l.released && !p.released
	l.newPlan = l.newPlan && !p.newPlan
	l.drop(p.gone)
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
