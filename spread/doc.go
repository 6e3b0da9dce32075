// Package spread replicates versioned items (active accounts, plans, decider
// addresses) to all nodes: from the few nodes that watch the store, and from
// any node that publishes an item.
//
// Items propagate down a tree of gRPC streams. Losses caused by failed, hung or
// outdated relays, paused nodes and partitions are repaired by comparing
// digests: immediately when a heartbeat reveals a difference, and periodically
// with the next upstream in order and with a random peer.
package spread
