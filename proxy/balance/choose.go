package balance

// choose returns the index of the available target with the lowest cost, or -1.
// It starts at a random index, so that nodes that see equal costs do not all
// send to the same target.
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
		if skip.Has(i) || !t.available(now) {
			continue
		}
		if cost := t.cost(now); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// available reports whether the target may get work and has a free slot.
func (t *Target) available(now int64) bool {
	return t.outstanding.Load() < t.limit.Load() && now >= t.shedUntil.Load() && t.Usable(now)
}

// cost estimates the latency of a new request at the target from this node's own
// requests only. Load reports are ignored, as they would favor targets that
// underreport.
//
// The estimate decays with the time since the target was last chosen, so that a
// target that was slow for a moment gets requests again. Time spent ejected does
// not count.
func (t *Target) cost(now int64) float64 {
	depth := float64(t.outstanding.Load()) + 1
	age := float64(min(now-t.chosenAt.Load(), t.Health.ActiveTime(now)))
	estimate := float64(t.Latency()) * max(minDecay, 1-age/float64(estimateLifetime))
	return depth * estimate / max(t.Health.Weight(now), minWeight)
}

// minDecay keeps the cost of a long-idle target above zero, so that its
// outstanding requests and weight still count.
const minDecay = 0.01

// minWeight keeps the cost of a concurrently ejected target finite.
const minWeight = 0.01
