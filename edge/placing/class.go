package placing

import "time"

const (
	// serviceTimeSmoothing is the weight of one response in the service time estimates.
	serviceTimeSmoothing = 0.05
	// initialWarmShare and initialColdShare are the initial service time estimates, as
	// fractions of the route's latency objective: warm targets are expected to meet it
	// easily, cold ones to miss it narrowly.
	initialWarmShare = 0.4
	initialColdShare = 1.1
	// maxInitialShare bounds the initial estimates as a fraction of the route's timeout, so that
	// requests of a class without samples may wait.
	maxInitialShare = 0.5
)

// Class holds the estimated service times of a class of requests on warm and on cold
// targets. The balancer's lock guards it.
type Class struct {
	warm, cold time.Duration
}

// NewClass returns a class with estimates derived from the route's latency objective.
func NewClass(objective time.Duration) *Class {
	if objective <= 0 {
		objective = time.Second
	}
	return &Class{
		warm: time.Duration(initialWarmShare * float64(objective)),
		cold: time.Duration(initialColdShare * float64(objective)),
	}
}

// serviceTime returns the expected service time, for a cold target at least that of a warm one.
func (c *Class) serviceTime(warm bool) time.Duration {
	if warm {
		return c.warm
	}
	return max(c.cold, c.warm)
}

// observe adds a sample of the service time to the estimate.
func (c *Class) observe(warm bool, took time.Duration) {
	estimate := &c.cold
	if warm {
		estimate = &c.warm
	}
	*estimate += time.Duration(serviceTimeSmoothing * float64(took-*estimate))
}

// NewClassWithin is as NewClass for a route that also has a timeout, 0 for none. Estimates near the timeout have all
// requests refused that would wait, and then do not change, as none of them runs.
func NewClassWithin(objective, timeout time.Duration) *Class {
	if timeout > 0 && (objective <= 0 || timeout < objective) {
		objective = timeout
	}
	c := NewClass(objective)
	if timeout > 0 {
		c.cold = min(c.cold, time.Duration(maxInitialShare*float64(timeout)))
	}
	return c
}
