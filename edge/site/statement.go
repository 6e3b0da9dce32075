package site

import "time"

// Statement is what a target states about itself in one answer.
type Statement struct {
	// Limited is set if the target limits its requests to Rate per second, of all VMs together.
	Limited bool
	Rate    float64
	// Leaving is set if the target is about to stop and takes no further requests.
	Leaving bool
	// Rest is how long the target wants no requests of the VM that it refused one; 0 for none.
	Rest time.Duration
	// Load is the load of the target when it answered.
	Load Load
	// Malformed is set if fields of the answer could not be read. They state nothing, and withdraw
	// nothing that earlier answers stated.
	Malformed error
}
