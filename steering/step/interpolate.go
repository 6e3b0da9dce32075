package step

import (
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// interpolate returns shares between from and to whose increases add up to at most
// budget, and the sum of those increases. Decreases add up to the same amount, so
// the total stays plan.Whole. Inputs and result are sorted by place.
func interpolate(from, to []plan.Share, budget uint32) ([]plan.Share, uint32) {
	changes := mergeShares(from, to)
	total := uint32(0)
	for _, p := range changes {
		total += p.increase()
	}
	if total <= budget {
		return to, total
	}
	if budget == 0 {
		return from, 0
	}
	moved := applyIncreases(changes, budget, total)
	applyDecreases(changes, moved, total)
	return nonZeroShares(changes), moved
}

// shareChange holds the current and the target share of one place.
type shareChange struct {
	share           plan.Share
	current, target uint32
}

func (p *shareChange) increase() uint32 {
	if p.target > p.current {
		return p.target - p.current
	}
	return 0
}

func (p *shareChange) decrease() uint32 {
	if p.current > p.target {
		return p.current - p.target
	}
	return 0
}

// mergeShares merges two share lists sorted by place.
func mergeShares(from, to []plan.Share) []shareChange {
	changes := make([]shareChange, 0, len(from)+len(to))
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].Place < to[0].Place:
			changes = append(changes, shareChange{share: from[0], current: from[0].PPM})
			from = from[1:]
		case len(from) == 0 || to[0].Place < from[0].Place:
			changes = append(changes, shareChange{share: to[0], target: to[0].PPM})
			to = to[1:]
		default:
			changes = append(changes, shareChange{share: to[0], current: from[0].PPM, target: to[0].PPM})
			from, to = from[1:], to[1:]
		}
	}
	return changes
}

// applyIncreases applies each increase in proportion to the budget, rounded down, and
// returns the sum.
func applyIncreases(changes []shareChange, budget, total uint32) uint32 {
	sum := uint32(0)
	for i := range changes {
		p := &changes[i]
		part := uint32(uint64(p.increase()) * uint64(budget) / uint64(total))
		p.share.PPM = p.current + part
		sum += part
	}
	return sum
}

// applyDecreases applies decreases that add up to moved: each in proportion, rounded
// down, and the remainder to the first places that can still decrease.
func applyDecreases(changes []shareChange, moved, total uint32) {
	left := moved
	for i := range changes {
		p := &changes[i]
		if p.decrease() == 0 {
			continue
		}
		part := uint32(uint64(p.decrease()) * uint64(moved) / uint64(total))
		p.share.PPM = p.current - part
		left -= part
	}
	for i := range changes {
		p := &changes[i]
		if p.decrease() == 0 {
			continue
		}
		extra := min(left, p.share.PPM-p.target)
		p.share.PPM -= extra
		left -= extra
	}
}

func nonZeroShares(changes []shareChange) []plan.Share {
	shares := make([]plan.Share, 0, len(changes))
	for _, p := range changes {
		if p.share.PPM > 0 {
			shares = append(shares, p.share)
		}
	}
	return shares
}

// sharesEqual compares two lists sorted by place. Zero shares count as absent.
func sharesEqual(a, b []plan.Share) bool {
	for _, p := range mergeShares(a, b) {
		if p.current != p.target {
			return false
		}
	}
	return true
}
