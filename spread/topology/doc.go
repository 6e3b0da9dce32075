// Package topology chooses, from the VM list alone, which entry VMs watch the
// store, which relay within a failure domain, and from whom a node receives.
// Every node computes the choice for itself by rendezvous hashing; nothing is
// agreed between nodes. Lists that differ for a while cost a worse tree, never
// a wrong item, as items carry their versions.
//
//	store -> 2 watchers a region -> 2 relays a failure domain -> the others
//
// The watchers of a region follow each other, and each follows a watcher of a
// neighbouring region, one in each direction of a ring of regions; so an item
// published anywhere reaches all, and each link between regions is crossed by
// few copies.
package topology
