package balance

// choose returns the target with the lower cost of two taken at random among
// those that may get work, or -1. Two at random instead of the best of all
// keeps many nodes with the same picture from sending to the same target.
func (s *Set) choose(now int64, random uint64, skip Skip) int {
	first := s.nth(now, uint32(random), skip, -1)
	if first < 0 {
		return -1
	}
	second := s.nth(now, uint32(random>>32), skip, first)
	if second < 0 {
		return first
	}
	if s.Targets[second].cost(now) < s.Targets[first].cost(now) {
		return second
	}
	return first
}

// nth returns an open target at a random position, leaving out one.
func (s *Set) nth(now int64, random uint32, skip Skip, without int) int {
	n := len(s.Targets)
	if n == 0 {
		return -1
	}
	start := int(uint64(random) * uint64(n) >> 32)
	for step := range n {
		i := start + step
		if i >= n {
			i -= n
		}
		if i != without && !skip.Has(i) && s.Targets[i].open(now) {
			return i
		}
	}
	return -1
}

// open reports whether the target may get work and has a free slot.
func (t *Target) open(now int64) bool {
	return t.outstanding.Load() < t.limit.Load() && now >= t.shedUntil.Load() && t.Usable(now)
}

// cost estimates how long a request would take at the target.
func (t *Target) cost(now int64) float64 {
	queue := float64(t.outstanding.Load()) + 1 + t.reported(now)
	weight := t.Health.Weight(now)
	return queue * float64(t.Latency()) / max(weight, minWeight)
}

const minWeight = 0.01

// reported returns what the target's report adds to its queue. It fades with
// age, so that a report that stands still soon counts for nothing.
func (t *Target) reported(now int64) float64 {
	age := now - t.loadAt.Load()
	if age < 0 || age >= int64(ReportLife) {
		return 0
	}
	others := t.load.Load() - t.outstanding.Load()
	fresh := 1 - float64(age)/float64(ReportLife)
	return max(0, float64(others)) * fresh
}
