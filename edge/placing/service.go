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

// serviceAverages is what is serviceAverages at the targets of a service.
type serviceAverages struct {
	// occupancy is how long a busy slot is kept.
	occupancy time.Duration
	failures  *serviceFailures
}

// averagesFor is what a request may expect of the targets of its service.
func (s *service) averagesFor(r *Request) serviceAverages {
	return serviceAverages{occupancy: s.occupancy.lengthBiasedMean(r.serviceTime()), failures: &s.failures}
}
