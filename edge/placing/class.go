package placing

import "time"

const (
	// serviceTimeSmoothing is the weight of one answer in the estimates of work.
	serviceTimeSmoothing = 0.05
	// initialWarmShare and firstColdShare of a route's latency objective are the first
	// estimates of its work: operators set an objective that a warm target meets easily
	// and a cold one hardly.
	initialWarmShare = 0.4
	initialColdShare = 1.1
)

// Class is what is learnt about the requests of one route. The balancer's lock
// guards it.
type Class struct {
	warm, cold time.Duration
}

// NewClass returns a class whose work is guessed from the route's latency objective.
func NewClass(objective time.Duration) *Class {
	if objective <= 0 {
		objective = time.Second
	}
	return &Class{
		warm: time.Duration(initialWarmShare * float64(objective)),
		cold: time.Duration(initialColdShare * float64(objective)),
	}
}

// serviceTime is the service time that is expected of a target.
func (c *Class) serviceTime(warm bool) time.Duration {
	if warm {
		return c.warm
	}
	return max(c.cold, c.warm)
}

// observe takes in how long a sound target worked.
func (c *Class) observe(warm bool, took time.Duration) {
	estimate := &c.cold
	if warm {
		estimate = &c.warm
	}
	*estimate += time.Duration(serviceTimeSmoothing * float64(took-*estimate))
}
