package step

import (
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// toward returns shares between from and to whose increases add up to at most
// budget, and the sum of those increases. Every rise is paid for by falls of
// the same sum, so the shares keep adding up to plan.Whole. Both inputs are
// sorted by place, and so is the result.
func toward(from, to []plan.Share, budget uint32) ([]plan.Share, uint32) {
	pairs := join(from, to)
	want := uint32(0)
	for _, p := range pairs {
		want += p.rise()
	}
	if want <= budget {
		return to, want
	}
	if budget == 0 {
		return from, 0
	}
	moved := scaleRises(pairs, budget, want)
	payFalls(pairs, moved, want)
	return collect(pairs), moved
}

// pair is one place's share before and in the target.
type pair struct {
	share        plan.Share
	before, goal uint32
}

func (p *pair) rise() uint32 {
	if p.goal > p.before {
		return p.goal - p.before
	}
	return 0
}

func (p *pair) fall() uint32 {
	if p.before > p.goal {
		return p.before - p.goal
	}
	return 0
}

// join merges two lists sorted by place.
func join(from, to []plan.Share) []pair {
	pairs := make([]pair, 0, len(from)+len(to))
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].Place < to[0].Place:
			pairs = append(pairs, pair{share: from[0], before: from[0].PPM})
			from = from[1:]
		case len(from) == 0 || to[0].Place < from[0].Place:
			pairs = append(pairs, pair{share: to[0], goal: to[0].PPM})
			to = to[1:]
		default:
			pairs = append(pairs, pair{share: to[0], before: from[0].PPM, goal: to[0].PPM})
			from, to = from[1:], to[1:]
		}
	}
	return pairs
}

// scaleRises raises each place by its part of the budget, rounded down, and
// returns the sum.
func scaleRises(pairs []pair, budget, want uint32) uint32 {
	sum := uint32(0)
	for i := range pairs {
		p := &pairs[i]
		part := uint32(uint64(p.rise()) * uint64(budget) / uint64(want))
		p.share.PPM = p.before + part
		sum += part
	}
	return sum
}

// payFalls lowers the falling places by moved in all: each by its part,
// rounded down, and the rest from the first that still can.
func payFalls(pairs []pair, moved, want uint32) {
	left := moved
	for i := range pairs {
		p := &pairs[i]
		if p.fall() == 0 {
			continue
		}
		part := uint32(uint64(p.fall()) * uint64(moved) / uint64(want))
		p.share.PPM = p.before - part
		left -= part
	}
	for i := range pairs {
		p := &pairs[i]
		if p.fall() == 0 {
			continue
		}
		extra := min(left, p.share.PPM-p.goal)
		p.share.PPM -= extra
		left -= extra
	}
}

func collect(pairs []pair) []plan.Share {
	shares := make([]plan.Share, 0, len(pairs))
	for _, p := range pairs {
		if p.share.PPM > 0 {
			shares = append(shares, p.share)
		}
	}
	return shares
}

// sharesEqual compares two lists sorted by place; zero shares count as absent.
func sharesEqual(a, b []plan.Share) bool {
	for _, p := range join(a, b) {
		if p.before != p.goal {
			return false
		}
	}
	return true
}
