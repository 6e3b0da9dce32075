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
	// refusedAt is when this VM last refused a request for want of slots.
	refusedAt time.Time
	weights   regionWeights
}

func newService(s site.Service) *service {
	return &service{
		Service: s, targets: make(map[string]*Target), regions: make(map[string][]*Target), loads: make(loads),
	}
}
