package placing

import "time"

const (
	// maxAffinityTargets bounds the targets of a region that one key may go to. The
	// fourth is tried when three are full at once.
	maxAffinityTargets = 4
	// coldPenalty and coldPenaltyPerUse are the cost of a cold run to other requests,
	// in parts of the time that it takes longer than a warm one: they wait for its slot,
	// or run cold because the target dropped their key. coldPenaltyPerUse counts by the
	// part of the region's slots in use.
	coldPenalty               = 0.5
	coldPenaltyPerUtilization = 1.0
)

// best returns the open target of a region at which a request is expected to end
// first, and when; nil if it should wait.
func (s *service) best(now time.Time, r *Request, region string) (*Target, time.Duration) {
	if !r.HasKey {
		return s.leastCost(now, r, region)
	}
	t, cost := s.bestAffinity(now, r, region)
	if t == nil || !t.canAccept(now) {
		return nil, cost
	}
	return t, cost
}

// leastCost is the open target at which a request without a key ends first.
func (s *service) leastCost(now time.Time, r *Request, region string) (best *Target, lowest time.Duration) {
	var rank uint64
	usual := s.averagesFor(r)
	for _, t := range s.regions[region] {
		if !t.canAccept(now) || r.tried(t) {
			continue
		}
		cost := t.cost(now, r.Class, false, usual)
		order := Rendezvous(r.Key, t.hash)
		if best == nil || cost < lowest || (cost == lowest && order > rank) {
			best, lowest, rank = t, cost, order
		}
	}
	return best, lowest
}

// bestAffinity is the affinity target at which a request costs least, full or not, and
// when it is expected to end there: to wait for a warm target is often shorter than to run
// cold at a free one. Load pattern: all targets of a region are nearly full; a cold
// run takes as long as three warm ones, which then run cold elsewhere in turn.
//
// A key overflows in the order of its affinity targets, which is the same at all VMs, so
// that one more target becomes warm for it and not one for each VM.
func (s *service) bestAffinity(now time.Time, r *Request, region string) (best *Target, expected time.Duration) {
	lowest := time.Duration(0)
	penalty := coldPenalty + coldPenaltyPerUtilization*s.utilization(now, region)
	usual := s.averagesFor(r)
	extraWork := float64(r.Class.serviceTime(false) - r.Class.serviceTime(true))
	coldOffered := false
	for i, a := range s.affinityTargets(now, r, region) {
		// All VMs send to the first affinity target, so that it is taken to be warm.
		warm := i == 0 || a.target.isWarm(r.Key, now)
		if !warm && coldOffered {
			continue
		}
		end := a.target.cost(now, r.Class, warm, usual)
		cost := end
		if !warm {
			coldOffered = true
			cost += time.Duration(penalty * extraWork)
		}
		if best == nil || cost < lowest {
			best, lowest, expected = a.target, cost, end
		}
	}
	return best, expected
}

// affinityTargets are the targets of a region that a key goes to, the preferred one first.
type affinityTargets []affinityTarget

type affinityTarget struct {
	target *Target
	score  uint64
}

// add puts a target in by its order and keeps maxAffinityTargets of them.
func (a affinityTargets) add(t *Target, order uint64) affinityTargets {
	i := len(a)
	for i > 0 && order > a[i-1].score {
		i--
	}
	if i >= maxAffinityTargets {
		return a
	}
	if len(a) < maxAffinityTargets {
		a = append(a, affinityTarget{})
	}
	copy(a[i+1:], a[i:])
	a[i] = affinityTarget{t, order}
	return a
}

// affinityTargets leaves out targets that cannot get the request soon.
func (s *service) affinityTargets(now time.Time, r *Request, region string) affinityTargets {
	a := make(affinityTargets, 0, maxAffinityTargets)
	for _, t := range s.regions[region] {
		if t.usable && !t.needsProbe && t.admits(now) && !r.tried(t) {
			a = a.add(t, Rendezvous(r.Key, t.hash))
		}
	}
	return a
}
