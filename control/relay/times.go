package relay

import "time"

const (
	// MinDomainNodes is how many live nodes a failure domain must have for a relay
	// to save calls.
	MinDomainNodes = 4
	// largeFleet is from how many nodes on reports are held for longer: each node
	// then reports every two seconds or more seldom.
	largeFleet = 400
	shortHold  = time.Second
	longHold   = 2 * time.Second
	// deciderTimeout bounds a batch at the decider, shortTimeout one of nodes that
	// are short, whose answers the decider holds for up to 1.5 s.
	deciderTimeout = 700 * time.Millisecond
	shortTimeout   = 1700 * time.Millisecond
	// slack is what a node waits for longer than a relay does.
	slack = 100 * time.Millisecond
	// maxHeld bounds the reports of an account that a relay holds.
	maxHeld = 256
)

// HoldTime is how long a relay holds a report at most, in a fleet of so many nodes.
func HoldTime(fleet int) time.Duration {
	if fleet >= largeFleet {
		return longHold
	}
	return shortHold
}

// NodeTimeout is how long a node waits for its relay, so long that the relay can tell
// that the decider did not answer. It is below the time after which a node takes
// no answer, 3 s.
func NodeTimeout(fleet int) time.Duration {
	return max(HoldTime(fleet)+deciderTimeout, urgentEvery+shortTimeout) + slack
}
