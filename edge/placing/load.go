package placing

import "time"

// load is the capacity of one region for a service and the requests in flight there.
type load struct {
	// slots and inFlight cover the available targets.
	slots    float64
	inFlight int
	// local and total are the in-flight requests of this VM and of all VMs, at all targets.
	local, total int
}

// loads caches the load of each region, so that serving the queue counts it only once.
type loads map[string]load

// resetLoads clears the cache. It must be called before decisions at a new time.
func (s *service) resetLoads() { clear(s.loads) }

// loadOf returns the load of a region, from the cache if present.
func (s *service) loadOf(now time.Time, region string) load {
	if l, ok := s.loads[region]; ok {
		return l
	}
	var l load
	for _, t := range s.regions[region] {
		inFlight := t.inFlight()
		l.local += t.local
		l.total += inFlight
		if t.available(now) {
			l.slots += t.usableSlots(s.occupancy.mean)
			l.inFlight += inFlight
		}
	}
	s.loads[region] = l
	return l
}

// addLocal counts one more request of this VM at a target and updates the cache.
func (s *service) addLocal(t *Target) {
	t.local++
	l, ok := s.loads[t.Region]
	if !ok {
		return
	}
	l.local++
	l.total++
	l.inFlight++
	s.loads[t.Region] = l
}

// utilization returns the requests in flight per slot of a region.
func (s *service) utilization(now time.Time, region string) float64 {
	l := s.loadOf(now, region)
	return float64(l.inFlight) / max(1, l.slots)
}

func (s *service) slots(now time.Time, region string) float64 { return s.loadOf(now, region).slots }

// untriedSlots is as slots, without the targets that must not get a request again.
func (s *service) untriedSlots(now time.Time, region string, r *Request) float64 {
	if len(r.Tried) == 0 {
		return s.slots(now, region)
	}
	slots := 0.0
	for _, t := range s.regions[region] {
		if t.available(now) && !r.tried(t) {
			slots += t.usableSlots(s.occupancy.mean)
		}
	}
	return slots
}

// slotShare estimates how many slots of a region serve this VM's queue, by its share of the
// requests in flight there.
func (s *service) slotShare(now time.Time, region string) float64 {
	l := s.loadOf(now, region)
	return max(1, l.slots) * float64(1+l.local) / float64(1+l.total)
}
