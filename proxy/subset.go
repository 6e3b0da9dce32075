package proxy

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// subsetUtilization is the mean share of a target's connections that a large
// fleet uses. Nodes are assigned to targets by hash, so the number at a target
// varies.
const subsetUtilization = 0.8

// subsetShare returns the share of a service's targets that one node uses. It
// is 1 as long as every node can have a connection to every target.
func subsetShare(service *model.Service, nodes int) float64 {
	all := max(1, nodes) + maxJoiningNodes
	if service.ConnectionsPerTarget <= 0 || all <= service.ConnectionsPerTarget {
		return 1
	}
	return subsetUtilization * float64(service.ConnectionsPerTarget) / float64(all)
}

// usesTarget reports whether a node uses a target. The choice depends only on
// the two names and the share, so nodes need no coordination and a change of
// the fleet changes few assignments.
func usesTarget(node, target string, share float64) bool {
	return share >= 1 || float64(targetHash(node, target)) < share*math.MaxUint64
}

func targetHash(node, target string) uint64 {
	return xxhash.Sum64String(node + "\x00" + target)
}
