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
func (t *Target) cost(now int64) float64 {
	queue := float64(t.outstanding.Load()) + 1
	return queue * float64(t.Latency()) / max(t.Health.Weight(now), minWeight)
}

// minWeight keeps the cost of a target that was ejected meanwhile finite.
const minWeight = 0.01
