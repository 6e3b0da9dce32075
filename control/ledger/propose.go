package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// proposal is a write of which it is not known yet that it took effect.
type proposal struct {
	value []byte
	next  map[grant.NodeID][]Amounts
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
	next := make(map[grant.NodeID][]Amounts, len(l.order))
	for _, h := range l.order {
		next[h.node.ID] = h.reserved
	}
	return l.pend(next, nil, now)
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
	next := make(map[grant.NodeID][]Amounts, len(l.order))
	covered := true
	lower := false
	for _, h := range l.order {
		n := l.nextOf(h, gone[h.node.ID], room, now)
		next[h.node.ID] = n
		for k := range n {
			covered = covered && n[k].within(h.reserved[k])
			lower = lower || n[k] != h.reserved[k]
		}
	}
	if covered && !l.due(lower || len(gone) > 0, now) {
		for _, h := range l.order {
			h.allowed = next[h.node.ID]
		}
		return nil
	}
	return l.pend(next, gone, now)
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
		l.lowerDue = now.Add(l.params.LowerEvery)
	}
	return !now.Before(l.lowerDue)
}

// pend makes the write. Until it is settled the smaller of the old and the
// new amounts may be sent: the next decider will read one of the two.
func (l *Ledger) pend(next map[grant.NodeID][]Amounts, gone map[grant.NodeID]bool, now time.Time) []byte {
	l.write++
	l.pending = &proposal{
		value:    l.encode(next, gone, now),
		next:     next,
		gone:     gone,
		newPlan:  l.newPlan,
		released: l.released,
	}
	l.bytes = len(l.pending.value)
	for _, h := range l.order {
		n := next[h.node.ID]
		for k := range h.allowed {
			if l.params.Faults.SendBeforeWrite {
				h.allowed[k] = n[k]
				continue
			}
			h.allowed[k] = h.allowed[k].min(n[k])
		}
	}
	return l.pending.value
}

// Written settles the pending write as taken effect.
func (l *Ledger) Written() {
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
		n, ok := p.next[h.node.ID]
		if !ok {
			continue
		}
		n = grow(n, len(l.keys))
		h.reserved = n
		h.allowed = append([]Amounts(nil), n...)
	}
}

// NotWritten settles the pending write as one that did not happen and will
// not. For a write with an unknown outcome that is wrong: it must be repeated.
func (l *Ledger) NotWritten() { l.pending = nil }

// room is what may still be given, by key, region and link; negative when
// more is out than the capacity.
type room struct {
	key    []int64
	to     []model.RegionName
	region map[model.RegionName]int64
	link   map[model.RegionName]int64
}

func (l *Ledger) room(now time.Time, gone map[grant.NodeID]bool) *room {
	r := &room{
		key:    make([]int64, len(l.keys)),
		to:     make([]model.RegionName, len(l.keys)),
		region: make(map[model.RegionName]int64),
		link:   make(map[model.RegionName]int64),
	}
	for k, key := range l.keys {
		r.key[k] = int64(l.limits.Capacity(key))
		r.to[k] = l.limits.RegionOf(key.Place)
		limit := l.limits.Region(r.to[k])
		r.region[r.to[k]] = int64(limit.Capacity)
		r.link[r.to[k]] = int64(limit.LinkIn)
	}
	for _, h := range l.order {
		if gone[h.node.ID] {
			continue
		}
		for k := range l.keys {
			r.take(k, h.node.Region, h.inForce(k, now).Total())
		}
	}
	return r
}

func (r *room) take(k int, from model.RegionName, a grant.Amount) {
	if a == 0 {
		return
	}
	to := r.to[k]
	r.key[k] -= int64(a)
	r.region[to] -= int64(a)
	if from != to {
		r.link[to] -= int64(a)
	}
}

func (r *room) left(k int, from model.RegionName) grant.Amount {
	to := r.to[k]
	left := min(r.key[k], r.region[to])
	if from != to {
		left = min(left, r.link[to])
	}
	return grant.Amount(max(left, 0))
}

// nextOf returns what the node may have next: what may be in force, and the
// raise it wants as far as there is room.
func (l *Ledger) nextOf(h *holding, gone bool, room *room, now time.Time) []Amounts {
	next := make([]Amounts, len(l.keys))
	if gone {
		return next
	}
	for k := range next {
		held := h.inForce(k, now)
		wanted := h.wanted[k]
		if h.node.Listed == 0 {
			wanted.Floor = held.Floor
		}
		n := held
		n.Floor += raise(held.Floor, wanted.Floor, k, h, room)
		n.Surplus += raise(held.Surplus, wanted.Surplus, k, h, room)
		next[k] = n
	}
	return next
}

func raise(held, wanted grant.Amount, k int, h *holding, room *room) grant.Amount {
	if wanted <= held {
		return 0
	}
	given := min(wanted-held, room.left(k, h.node.Region))
	room.take(k, h.node.Region, given)
	return given
}
