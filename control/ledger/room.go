package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// room is what may still be given, by key, region and link; negative when
// more is out than the capacity. Regions are numbered, as the sums are made
// for each node and key.
type room struct {
	numbers map[model.RegionName]int
	// to is the region of each key's place.
	to                []int
	key, region, link []int64
}

func (l *Ledger) room(now time.Time, gone map[grant.NodeID]bool) *room {
	r := &room{
		numbers: make(map[model.RegionName]int),
		to:      make([]int, len(l.keys)),
		key:     make([]int64, len(l.keys)),
	}
	for k, key := range l.keys {
		r.key[k] = int64(l.limits.Capacity(key))
		r.to[k] = r.number(l.limits, l.limits.RegionOf(key.Place))
	}
	for _, h := range l.order {
		if gone[h.node.ID] {
			continue
		}
		from := r.number(l.limits, h.node.Region)
		for k := range l.keys {
			r.take(k, from, h.inForce(k, now).Total())
		}
	}
	return r
}

// number returns the number of a region, which gets one when it is new.
func (r *room) number(limits *Limits, name model.RegionName) int {
	n, ok := r.numbers[name]
	if ok {
		return n
	}
	n = len(r.region)
	r.numbers[name] = n
	limit := limits.Region(name)
	r.region = append(r.region, int64(limit.Capacity))
	r.link = append(r.link, int64(limit.LinkIn))
	return n
}

func (r *room) take(k, from int, a grant.Amount) {
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

func (r *room) left(k, from int) grant.Amount {
	to := r.to[k]
	left := min(r.key[k], r.region[to])
	if from != to {
		left = min(left, r.link[to])
	}
	return grant.Amount(max(left, 0))
}

// raise takes the part of a raise that there is room for.
func (r *room) raise(held, wanted grant.Amount, k, from int) grant.Amount {
	if wanted <= held {
		return 0
	}
	given := min(wanted-held, r.left(k, from))
	r.take(k, from, given)
	return given
}

// fillNext sets what the node may have next: what may be in force, and the
// raise it wants as far as there is room. A node that no VM list has shown
// gets no raise of a floor: the list could never tell that it ended.
func (l *Ledger) fillNext(h *holding, gone bool, room *room, now time.Time) {
	if gone {
		clear(h.next)
		return
	}
	from := room.number(l.limits, h.node.Region)
	for k := range h.next {
		held := h.inForce(k, now)
		next := held
		if h.node.ListSequence != 0 {
			next.Floor += room.raise(held.Floor, h.wanted[k].Floor, k, from)
		}
		next.Surplus += room.raise(held.Surplus, h.wanted[k].Surplus, k, from)
		h.next[k] = next
	}
}
