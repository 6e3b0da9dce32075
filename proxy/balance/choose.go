package balance

// choose returns the target with the lowest cost of those that may get work,
// or -1. It begins at a random one, so that nodes that see equal costs do not
// all send to the same target.
func (s *Set) choose(now int64, random uint64, skip Skip) int {
	n := len(s.Targets)
	if n == 0 {
		return -1
	}
	start := int((random >> 32) * uint64(n) >> 32)
	best, lowest := -1, 0.0
	for step := range n {
		i := start + step
		if i >= n {
			i -= n
		}
		t := s.Targets[i]
		if skip.Has(i) || !t.open(now) {
			continue
		}
		if cost := t.cost(now); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// open reports whether the target may get work and has a free slot.
func (t *Target) open(now int64) bool {
	return t.outstanding.Load() < t.limit.Load() && now >= t.shedUntil.Load() && t.Usable(now)
}

// cost estimates how long a request would take at the target, from this node's
// own requests only. A target's load report is not read: however it is
// weighted, it sent more work to the targets that report less than they have.
//
// Guard against an estimate that is never corrected: a target that answered slowly
// for a moment costs more than the others, gets no request while one of them is
// free, and so never shows that it is quick again. It shows as a target without
// work beside busy ones, for good. The guard holds because the cost falls with the
// time since the target was chosen, to minEstimate of itself. The time of an
// ejection does not count: a target that comes back begins with little work.
func (t *Target) cost(now int64) float64 {
	queue := float64(t.outstanding.Load()) + 1
	age := float64(min(now-t.chosenAt.Load(), t.Health.ActiveTime(now)))
	estimate := float64(t.Latency()) * max(minEstimate, 1-age/float64(estimateLife))
	return queue * estimate / max(t.Health.Weight(now), minWeight)
}

// minEstimate keeps the cost of a target that was idle for long above zero, so that
// its queue and weight still count.
const minEstimate = 0.01

// minWeight keeps the cost of a target that was ejected meanwhile finite.
const minWeight = 0.01
