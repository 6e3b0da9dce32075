package proxy

import (
	"math"
	"time"
)

const (
	// imbalanceFactor is how many times its even share of a target's slots a
	// node may use, since traffic is not spread evenly over nodes.
	imbalanceFactor = 2
	// minSlots leaves room for another request beside a bulk one.
	minSlots = 2
	// minServiceTime is the shortest service time that slotLimit assumes.
	minServiceTime = time.Millisecond
	// maxInTransitPerSlot bounds the requests in transit for each slot.
	maxInTransitPerSlot = 64
	// defaultConnections applies if the service sets no limit.
	defaultConnections = 64
	// maxJoiningNodes is how many nodes may join before the others recompute
	// their share of the connections.
	maxJoiningNodes = 2
	// warmConnections is how many connections to a target are opened ahead of
	// demand.
	warmConnections = 2
	// warmInterval is the time between attempts to open them, which limits the
	// load on a target that accepts none.
	warmInterval = time.Second
)

// slotLimit returns how many requests this node may have outstanding at one
// target. Requests in transit hold no slot there, so the limit grows with the
// round-trip time; the grant bounds the rate.
func slotLimit(slots, nodes int, roundTrip, latency time.Duration) int {
	if slots <= 0 {
		slots = minSlots
	}
	share := (imbalanceFactor*slots + nodes - 1) / max(1, nodes)
	share = min(max(share, minSlots), slots)
	service := max(latency-roundTrip, minServiceTime)
	inTransit := min(float64(roundTrip)/float64(service), maxInTransitPerSlot)
	return int(math.Ceil(float64(share) * (1 + inTransit)))
}

// connectionLimit returns the node's share of the connections to a target.
func connectionLimit(perTarget, nodes int) int {
	if perTarget <= 0 {
		return defaultConnections
	}
	return max(1, perTarget/(max(1, nodes)+maxJoiningNodes))
}
