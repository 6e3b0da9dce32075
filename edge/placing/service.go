package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// service is the targets and the wait queue of one service.
type service struct {
	site.Service
	targets   map[string]*Target
	regions   map[string][]*Target
	loads     loads
	queue     waitQueue
	demand    demand
	occupancy occupancy
	failures  serviceFailures
	// refusedAt is when this VM last refused a request for want of slots.
	refusedAt time.Time
	weights   regionWeights
}

func newService(s site.Service) *service {
	return &service{
		Service: s, targets: make(map[string]*Target), regions: make(map[string][]*Target), loads: make(loads),
	}
}

// usual is what is usual at the targets of a service.
type usual struct {
	// occupancy is how long a busy slot is kept.
	occupancy time.Duration
	failures  *serviceFailures
}

// usualFor is what a request may expect of the targets of its service.
func (s *service) usualFor(r *Request) usual {
	return usual{occupancy: s.occupancy.ofBusySlot(r.work()), failures: &s.failures}
}
