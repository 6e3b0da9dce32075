// Package spread carries versioned items (accounts in force, plans, decider
// addresses) from the few nodes that watch the store to all nodes, and from
// any node that publishes one to all others.
//
// An item moves down a tree of gRPC streams within milliseconds. What a stream
// loses - a relay that died, hung or lagged, a paused node, a partition - is
// repaired by comparing digests, at once where a heartbeat shows a difference
// and periodically with a random peer.
package spread
