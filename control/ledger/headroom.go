package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// headroom is the unused capacity by key, region and link. It is negative where
// more than the capacity may be in force. Regions are numbered to avoid map
// lookups for each node and key.
type headroom struct {
	regionNumbers map[model.RegionName]int
	// keyRegion is the region number of each key's place.
	keyRegion         []int
	key, region, link []int64
}

func (l *Ledger) headroom(now time.Time, removed map[grant.NodeID]bool) *headroom {
	r := &headroom{
		regionNumbers: make(map[model.RegionName]int),
		keyRegion:     make([]int, len(l.keys)),
		key:           make([]int64, len(l.keys)),
	}
	for k, key := range l.keys {
		r.key[k] = int64(l.limits.Capacity(key))
		r.keyRegion[k] = r.regionNumber(l.limits, l.limits.RegionOf(key.Place))
	}
	for _, h := range l.order {
		if removed[h.node.ID] {
			continue
		}
		from := r.regionNumber(l.limits, h.node.Region)
		for k := range l.keys {
			r.subtract(k, from, h.inForce(k, now).Total())
		}
	}
	return r
}

// regionNumber returns the number of a region and assigns one to a new region.
func (r *headroom) regionNumber(limits *Limits, name model.RegionName) int {
	n, ok := r.regionNumbers[name]
	if ok {
		return n
	}
	n = len(r.region)
	r.regionNumbers[name] = n
	limit := limits.Region(name)
	r.region = append(r.region, int64(limit.Capacity))
	r.link = append(r.link, int64(limit.LinkIn))
	return n
}

func (r *headroom) subtract(k, from int, a grant.Amount) {
	if a == 0 {
		return
	}
	to := r.keyRegion[k]
	r.key[k] -= int64(a)
	r.region[to] -= int64(a)
	if from != to {
		r.link[to] -= int64(a)
	}
}

func (r *headroom) available(k, from int) grant.Amount {
	to := r.keyRegion[k]
	left := min(r.key[k], r.region[to])
	if from != to {
		left = min(left, r.link[to])
	}
	return grant.Amount(max(left, 0))
}

// allotRaise subtracts the part of a raise that fits the headroom, and returns it.
func (r *headroom) allotRaise(held, wanted grant.Amount, k, from int) grant.Amount {
	if wanted <= held {
		return 0
	}
	raise := min(wanted-held, r.available(k, from))
	r.subtract(k, from, raise)
	return raise
}

// computeNext sets the node's next amounts: those that may be in force, plus the
// wanted raise as far as the headroom allows. A node that no VM list has contained
// gets no floor, because the list could never show that it ended.
func (l *Ledger) computeNext(h *nodeGrants, removed bool, room *headroom, now time.Time) {
	if removed {
		clear(h.next)
		return
	}
	from := room.regionNumber(l.limits, h.node.Region)
	for k := range h.next {
		held := h.inForce(k, now)
		next := held
		if h.node.ListSequence != 0 {
			next.Floor += room.allotRaise(held.Floor, h.wanted[k].Floor, k, from)
		}
		next.Surplus += room.allotRaise(held.Surplus, h.wanted[k].Surplus, k, from)
		h.next[k] = next
	}
}
