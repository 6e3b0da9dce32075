package placing

import "time"

// load is what is in flight at a region's targets of a service.
type load struct {
	// slots are those of the targets that take part in the capacity, inFlight the requests
	// there.
	slots, inFlight int
	// local and total are the requests of this VM and of total VMs at total targets of the region.
	local, total int
}

// loads are those of the regions, counted once in a decision and not for each request
// in the queue.
type loads map[string]load

// resetLoads is called before the first decision of a moment.
func (s *service) resetLoads() { clear(s.loads) }

// loadOf counts a region, or returns what was counted in this moment.
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
			l.slots += t.Slots
			l.inFlight += inFlight
		}
	}
	s.loads[region] = l
	return l
}

// addLocal counts one more request of this VM at a target.
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

// utilization is the part of a region's slots that is in utilization.
func (s *service) utilization(now time.Time, region string) float64 {
	l := s.loadOf(now, region)
	return float64(l.inFlight) / float64(max(1, l.slots))
}

// slots is the capacity of a region.
func (s *service) slots(now time.Time, region string) int { return s.loadOf(now, region).slots }

// slotShare is how many slots of a region serve this VM's queue: its part of the
// requests in flight there.
func (s *service) slotShare(now time.Time, region string) float64 {
	l := s.loadOf(now, region)
	return max(1, float64(l.slots)) * float64(1+l.local) / float64(1+l.total)
}
