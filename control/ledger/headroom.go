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

// allotRaise subtracts the given part of a raise, as far as it fits the headroom, and
// returns it.
func (r *headroom) allotRaise(held, wanted grant.Amount, part float64, k, from int) grant.Amount {
	if wanted <= held {
		return 0
	}
	raise := min(grant.Amount(float64(wanted-held)*part), r.available(k, from))
	r.subtract(k, from, raise)
	return raise
}

// raiseParts is the part of the wanted raises that fits the headroom of each key,
// region and link, at most 1.
type raiseParts struct{ key, region, link []float64 }

// of returns the part for a raise of key k, whose place is in region to, at a node in
// region from; nil parts are whole.
func (p *raiseParts) of(k, from, to int) float64 {
	if p == nil {
		return 1
	}
	part := min(p.key[k], p.region[to])
	if from != to {
		part = min(part, p.link[to])
	}
	return part
}

// add adds a raise to the sums of its key, region and link.
func (p *raiseParts) add(raise grant.Amount, k, from, to int) {
	p.key[k] += float64(raise)
	p.region[to] += float64(raise)
	if from != to {
		p.link[to] += float64(raise)
	}
}

// partsThatFit returns the parts by which all nodes get their raises alike, nil if all
// raises fit.
func (l *Ledger) partsThatFit(room *headroom, removed map[grant.NodeID]bool) *raiseParts {
	parts := &raiseParts{
		key:    make([]float64, len(room.key)),
		region: make([]float64, len(room.region)),
		link:   make([]float64, len(room.link)),
	}
	for _, h := range l.order {
		if removed[h.node.ID] {
			continue
		}
		from := room.regionNumber(l.limits, h.node.Region)
		for k, held := range h.next {
			parts.add(h.wantedNow(k).max(held).Total()-held.Total(), k, from, room.keyRegion[k])
		}
	}
	keysShort := sumsToParts(parts.key, room.key)
	regionsShort := sumsToParts(parts.region, room.region)
	linksShort := sumsToParts(parts.link, room.link)
	if !keysShort && !regionsShort && !linksShort {
		return nil
	}
	return parts
}

// sumsToParts replaces each sum of raises by the part of it that fits its headroom.
func sumsToParts(sums []float64, room []int64) (short bool) {
	for i, sum := range sums {
		free := float64(max(room[i], 0))
		sums[i] = 1
		if sum > free {
			sums[i] = free / sum
			short = true
		}
	}
	return short
}

// computeNext sets the next amounts of all nodes: those that may be in force, plus the
// wanted raises as far as the headroom allows. Where it does not allow all, each node
// gets the same part of its raises; what another limit leaves of that goes to the
// nodes in order.
func (l *Ledger) computeNext(removed map[grant.NodeID]bool, room *headroom, now time.Time) {
	for _, h := range l.order {
		l.keepInForce(h, removed[h.node.ID], now)
	}
	if parts := l.partsThatFit(room, removed); parts != nil {
		l.raise(room, removed, parts)
	}
	l.raise(room, removed, nil)
}

func (l *Ledger) keepInForce(h *nodeGrants, removed bool, now time.Time) {
	if removed {
		clear(h.next)
		return
	}
	for k := range h.next {
		h.next[k] = h.inForce(k, now)
	}
}

// raise adds a part of each wanted raise to the next amounts.
func (l *Ledger) raise(room *headroom, removed map[grant.NodeID]bool, parts *raiseParts) {
	for _, h := range l.order {
		if removed[h.node.ID] {
			continue
		}
		from := room.regionNumber(l.limits, h.node.Region)
		for k := range h.next {
			next, wanted := &h.next[k], h.wantedNow(k)
			share := parts.of(k, from, room.keyRegion[k])
			next.Floor += room.allotRaise(next.Floor, wanted.Floor, share, k, from)
			next.Surplus += room.allotRaise(next.Surplus, wanted.Surplus, share, k, from)
		}
	}
}
