package proxy

import (
	"math"
	"time"
)

const (
	// unevenness is how many times its even share of a target's slots a node
	// may use: traffic is not spread evenly over nodes.
	unevenness = 2
	// minSlots leaves room for a second request beside a bulk one.
	minSlots = 2
	// minService bounds the time a request is taken to need at a target.
	minService = time.Millisecond
	// maxWireFactor bounds how many requests are on the wire for each slot.
	maxWireFactor = 64
	// defaultConnections applies when the service sets no bound.
	defaultConnections = 64
	// joiningNodes is how many nodes may join before the others divide by the
	// new number; the bound on connections must hold then as well.
	joiningNodes = 2
	// warmedConnections is how many connections to a target are kept open ahead
	// of the requests that need them.
	warmedConnections = 2
	// warmPause is the time between two tries to open them: a target that takes
	// none must not be asked all the time.
	warmPause = time.Second
)

// slotLimit returns how many requests of this node one target takes at once.
// Requests on the wire hold no slot at the target, so the longer the way the
// more of them may be under way. The rate is bounded by the grant in any case.
func slotLimit(slots, nodes int, roundTrip, latency time.Duration) int {
	if slots <= 0 {
		slots = minSlots
	}
	share := (unevenness*slots + nodes - 1) / max(1, nodes)
	share = min(max(share, minSlots), slots)
	service := max(latency-roundTrip, minService)
	wire := min(float64(roundTrip)/float64(service), maxWireFactor)
	return int(math.Ceil(float64(share) * (1 + wire)))
}

// connectionLimit divides the connections a target takes between the nodes.
func connectionLimit(perTarget, nodes int) int {
	if perTarget <= 0 {
		return defaultConnections
	}
	return max(1, perTarget/(max(1, nodes)+joiningNodes))
}
