package proxy

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// subsetFill is how much of a target's connections a large fleet uses on
// average: which nodes use a target is drawn by hash, so the number varies.
const subsetFill = 0.8

// subsetShare returns the part of a service's targets that one node uses. It is
// 1 as long as every node can hold a connection to every target.
func subsetShare(service *model.Service, nodes int) float64 {
	all := max(1, nodes) + joiningNodes
	if service.ConnectionsPerTarget <= 0 || all <= service.ConnectionsPerTarget {
		return 1
	}
	return subsetFill * float64(service.ConnectionsPerTarget) / float64(all)
}

// usesTarget reports whether a node uses a target. The draw depends on the two
// names and the share only: nodes need not agree on anything, and a change of
// the fleet moves few of them.
func usesTarget(node, target string, share float64) bool {
	return share >= 1 || float64(drawOf(node, target)) < share*math.MaxUint64
}

func drawOf(node, target string) uint64 {
	return xxhash.Sum64String(node + "\x00" + target)
}
