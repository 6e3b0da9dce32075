package placing

import "time"

const (
	// maxAffinityTargets bounds the targets of a region that serve one key. The fourth is used
	// when three are full at once.
	maxAffinityTargets = 4
	// coldPenalty and coldPenaltyPerUtilization are the cost of a cold run to other requests,
	// as a fraction of its extra service time: they wait for its slot, or run cold because
	// the target evicted their key. The second is multiplied by the region's utilization.
	coldPenalty               = 0.5
	coldPenaltyPerUtilization = 1.0
)

// best returns the target of a region that should serve a request and the expected
// completion time there, or nil if the request should wait.
func (s *service) best(now time.Time, r *Request, region string) (*Target, time.Duration) {
	if !r.HasKey {
		return s.leastCost(now, r, region)
	}
	t, cost := s.bestAffinity(now, r, region)
	if t == nil || !t.canAccept(now) && !t.canAcceptReturn(now, r) {
		return nil, cost
	}
	return t, cost
}

// leastCost returns the accepting target with the lowest expected completion time for a
// request without a key.
func (s *service) leastCost(now time.Time, r *Request, region string) (best *Target, lowest time.Duration) {
	var bestScore uint64
	averages := s.averagesFor(r)
	for _, t := range s.regions[region] {
		if !t.canAccept(now) || r.tried(t) {
			if t.usable && t.isRateLimited() {
				t.limit.Want()
			}
			continue
		}
		cost := t.cost(now, r.Class, false, averages)
		score := Rendezvous(r.Key, t.hash)
		if best == nil || cost < lowest || (cost == lowest && score > bestScore) {
			best, lowest, bestScore = t, cost, score
		}
	}
	return best, lowest
}

// bestAffinity returns the affinity target with the lowest cost and the expected completion
// time there. Full targets are included, because waiting for a warm target is often faster
// than a cold run on a free one. When all targets are nearly full, a cold run also takes a slot
// for as long as three warm ones, and these run cold elsewhere in turn.
//
// Only the highest ranked cold target is considered, so that all VMs overflow a key to the
// same additional target, and one more target becomes warm for it and not one for each VM.
func (s *service) bestAffinity(now time.Time, r *Request, region string) (best *Target, expected time.Duration) {
	lowest := time.Duration(0)
	penalty := coldPenalty + coldPenaltyPerUtilization*s.utilization(now, region)
	averages := s.averagesFor(r)
	extraTime := float64(r.Class.serviceTime(false) - r.Class.serviceTime(true))
	coldOffered := false
	for i, a := range s.affinityTargets(now, r, region) {
		// All VMs send to the first affinity target, so assume that it is warm.
		warm := i == 0 || a.target.isWarm(r.Key, now)
		if !warm && coldOffered {
			continue
		}
		end := a.target.cost(now, r.Class, warm, averages)
		cost := end
		if !warm {
			coldOffered = true
			cost += time.Duration(penalty * extraTime)
		}
		if best == nil || cost < lowest {
			best, lowest, expected = a.target, cost, end
		}
	}
	return best, expected
}

// affinityTargets are the highest ranked targets of a region for a key, in descending order.
type affinityTargets []affinityTarget

type affinityTarget struct {
	target *Target
	score  uint64
}

// add inserts a target by its score and keeps at most maxAffinityTargets.
func (a affinityTargets) add(t *Target, score uint64) affinityTargets {
	i := len(a)
	for i > 0 && score > a[i-1].score {
		i--
	}
	if i >= maxAffinityTargets {
		return a
	}
	if len(a) < maxAffinityTargets {
		a = append(a, affinityTarget{})
	}
	copy(a[i+1:], a[i:])
	a[i] = affinityTarget{t, score}
	return a
}

// affinityTargets ranks the targets of a region for a key. It excludes targets that may not
// get the request even once a slot is free.
func (s *service) affinityTargets(now time.Time, r *Request, region string) affinityTargets {
	a := make(affinityTargets, 0, maxAffinityTargets)
	var limited affinityTarget
	for _, t := range s.regions[region] {
		if !t.usable || t.unreached || t.needsProbe || t.stated.isResting(now) || r.tried(t) {
			continue
		}
		score := Rendezvous(r.Key, t.hash)
		if t.admits(now) {
			a = a.add(t, score)
		} else if t.isRateLimited() && score > limited.score {
			limited = affinityTarget{t, score}
		}
	}
	if limited.target != nil && (len(a) == 0 || limited.score > a[0].score) {
		limited.target.limit.Want()
	}
	return a
}
