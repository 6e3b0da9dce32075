// Package topology selects, from the VM list alone, the entry VMs that watch
// the store, the relays of each failure domain, and the upstreams of each node.
// Every node computes the selection independently by rendezvous hashing. Nodes
// with different lists may form a worse tree but never apply a wrong item,
// because items are versioned.
//
//	store -> 2 watchers per region -> 2 relays per failure domain -> leaves
//
// The watchers of a region subscribe to each other, and each subscribes to a
// watcher of a neighbouring region, one in each direction of a ring of regions.
// Published items thus reach all regions with few copies per inter-region link.
package topology
