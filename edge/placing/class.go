package placing

import "time"

const (
	// learnRate is the weight of one answer in the estimates of work.
	learnRate = 0.05
	// firstWarmShare and firstColdShare of a route's latency objective are the first
	// estimates of its work: operators set an objective that a warm target meets easily
	// and a cold one hardly.
	firstWarmShare = 0.4
	firstColdShare = 1.1
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
		warm: time.Duration(firstWarmShare * float64(objective)),
		cold: time.Duration(firstColdShare * float64(objective)),
	}
}

// work is the service time that is expected of a target.
func (c *Class) work(warm bool) time.Duration {
	if warm {
		return c.warm
	}
	return max(c.cold, c.warm)
}

// learn takes in how long a sound target worked.
func (c *Class) learn(warm bool, took time.Duration) {
	estimate := &c.cold
	if warm {
		estimate = &c.warm
	}
	*estimate += time.Duration(learnRate * float64(took-*estimate))
}
