package relay

import "time"

const (
	// MinDomainNodes is the smallest number of live nodes in a failure domain for
	// which a relay saves calls.
	MinDomainNodes = 4
	// largeFleet is the fleet size from which reports are held longer, because each
	// node then reports at most every two seconds.
	largeFleet     = 400
	smallFleetHold = time.Second
	largeFleetHold = 2 * time.Second
	// deciderTimeout limits a batch at the decider, shortageTimeout one of nodes
	// short of capacity, whose answers the decider holds for up to 1.5 s.
	deciderTimeout  = 700 * time.Millisecond
	shortageTimeout = 1700 * time.Millisecond
	// timeoutSlack is how much longer a node waits than its relay.
	timeoutSlack = 100 * time.Millisecond
	// maxPending limits the reports of an account queued at a relay.
	maxPending = 256
)

// HoldTime returns the longest time that a relay holds a report in a fleet of this
// size.
func HoldTime(fleet int) time.Duration {
	if fleet >= largeFleet {
		return largeFleetHold
	}
	return smallFleetHold
}

// NodeTimeout returns how long a node waits for its relay. It leaves the relay time
// to report that the decider did not answer, and is shorter than a node's request
// timeout of 3 s.
func NodeTimeout(fleet int) time.Duration {
	return max(HoldTime(fleet)+deciderTimeout, urgentInterval+shortageTimeout) + timeoutSlack
}
