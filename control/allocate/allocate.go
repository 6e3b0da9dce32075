// Package allocate divides the capacity of one client account among its nodes. It
// has no state and does no I/O. It returns requested allocations, which the ledger
// grants as far as the outstanding amounts allow.
//
// A node keeps its allocation while that is sufficient and no other node needs
// it, so steady demand causes no changes, messages or writes.
package allocate

import (
	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// Params are the weights of the split, as fractions from 0 to 1.
type Params struct {
	// FloorShare is the largest part of a capacity allocated as floors, which
	// remain during outages; the rest is surplus and can be reassigned.
	FloorShare float64
	// Unassigned is the part of a capacity reserved for new nodes.
	Unassigned float64
	// EvenShare is the part divided evenly among all nodes, so that a node can
	// serve demand it has not reported yet.
	EvenShare float64
	// RaiseThreshold is the used part of a grant above which a node gets more.
	RaiseThreshold float64
}

// DefaultParams returns the default weights.
func DefaultParams() Params {
	return Params{FloorShare: 0.7, Unassigned: 0.05, EvenShare: 0.25, RaiseThreshold: 0.85}
}

// Node is the input of the split for one node. Slices are in the order of the
// keys.
type Node struct {
	Region model.RegionName
	// Demand is the load that the node would send, in requests/s.
	Demand []float64
	// Current is the node's last requested allocation, InForce the largest amounts
	// that may be in force on it.
	Current, InForce []ledger.Amounts
	// Unreachable nodes keep the amounts in force.
	Unreachable bool
	// Leaving nodes get no even share, only a share by demand.
	Leaving bool
}

// Split returns the requested allocations in the order of nodes and keys.
func Split(limits *ledger.Limits, keys []ledger.Key, nodes []Node, p Params) [][]ledger.Amounts {
	s := newSplit(limits, keys, nodes, p)
	s.limitKeys()
	s.limitRegions()
	s.computeShares()
	s.limitLinks()
	s.chooseAll()
	return s.allocations
}

type split struct {
	params Params
	limits *ledger.Limits
	keys   []ledger.Key
	nodes  []Node
	// keyRegion is the region of each key's place.
	keyRegion []model.RegionName
	// demand is the total demand by key.
	demand []float64
	// target is the total to allocate of each key, floors the largest total of
	// floors in it.
	target, floors []float64
	// share is the ideal allocation by node and key.
	share [][]float64
	// evenShare is the part of a share that does not depend on demand, by key.
	evenShare   []float64
	region      map[model.RegionName]float64
	link        map[model.RegionName]float64
	allocations [][]ledger.Amounts
}

func newSplit(limits *ledger.Limits, keys []ledger.Key, nodes []Node, p Params) *split {
	s := &split{
		params:      p,
		limits:      limits,
		keys:        keys,
		nodes:       nodes,
		keyRegion:   make([]model.RegionName, len(keys)),
		demand:      make([]float64, len(keys)),
		target:      make([]float64, len(keys)),
		floors:      make([]float64, len(keys)),
		share:       matrix[float64](len(nodes), len(keys)),
		evenShare:   make([]float64, len(keys)),
		region:      make(map[model.RegionName]float64),
		link:        make(map[model.RegionName]float64),
		allocations: matrix[ledger.Amounts](len(nodes), len(keys)),
	}
	for k, key := range keys {
		s.keyRegion[k] = limits.RegionOf(key.Place)
	}
	return s
}

// limitKeys sets the target of each key to its capacity, less the unassigned part
// and the amounts in force on unreachable nodes.
func (s *split) limitKeys() {
	usable := 1 - s.params.Unassigned
	for k, key := range s.keys {
		capacity := float64(s.limits.Capacity(key))
		s.target[k] = capacity * usable
		s.floors[k] = capacity * s.params.FloorShare
		limit := s.limits.Region(s.keyRegion[k])
		s.region[s.keyRegion[k]] = float64(limit.Capacity) * usable
		s.link[s.keyRegion[k]] = float64(limit.LinkIn) * usable
	}
	for i := range s.nodes {
		s.addNode(&s.nodes[i])
	}
	for k := range s.keys {
		s.target[k] = max(s.target[k], 0)
		s.floors[k] = max(s.floors[k], 0)
	}
}

func (s *split) addNode(n *Node) {
	for k := range s.keys {
		if !n.Unreachable {
			s.demand[k] += n.Demand[k]
			continue
		}
		held := float64(n.InForce[k].Total())
		s.target[k] -= held
		s.floors[k] -= float64(n.InForce[k].Floor)
		s.region[s.keyRegion[k]] -= held
		if n.Region != s.keyRegion[k] {
			s.link[s.keyRegion[k]] -= held
		}
	}
}

// limitRegions reduces the targets in a region to its capacity, weighted by demand
// and, slightly, by the capacity of each key.
func (s *split) limitRegions() {
	for name, capacity := range s.region {
		var members []int
		sum := 0.0
		for k := range s.keys {
			if s.keyRegion[k] == name {
				members = append(members, k)
				sum += s.target[k]
			}
		}
		if sum > capacity {
			s.fillTargets(members, max(capacity, 0))
		}
	}
}

// capacityWeight is the weight of a key's capacity relative to its demand.
const capacityWeight = 0.1

// fillTargets divides total among the members, none above its previous target.
func (s *split) fillTargets(members []int, total float64) {
	limit := make(map[int]float64, len(members))
	weight := make(map[int]float64, len(members))
	for _, k := range members {
		limit[k] = s.target[k]
		weight[k] = s.demand[k]*float64(grant.PerRequest) + capacityWeight*s.target[k]
		s.target[k] = 0
	}
	open := members
	for len(open) > 0 && total > 0 {
		sum := 0.0
		for _, k := range open {
			sum += weight[k]
		}
		if sum <= 0 {
			return
		}
		open, total = s.fillRound(open, limit, weight, total, sum)
	}
}

// fillRound gives each open member its part of the total. It returns the members
// below their limit and the excess of the others, for the next round.
func (s *split) fillRound(open []int, limit, weight map[int]float64, total, sum float64) ([]int, float64) {
	var still []int
	excess := 0.0
	for _, k := range open {
		part := total * weight[k] / sum
		headroom := limit[k] - s.target[k]
		if part >= headroom {
			s.target[k] = limit[k]
			excess += part - headroom
			continue
		}
		s.target[k] += part
		still = append(still, k)
	}
	if len(still) == len(open) {
		return nil, 0
	}
	return still, excess
}

// idleDemandFraction is the part of a key's target up to which the split ignores
// demand. Otherwise the decaying average of one node's past callers, as the only
// demand left, would give that node most of an idle capacity.
const idleDemandFraction = 0.05

// computeShares divides the target of each key among the reachable nodes.
func (s *split) computeShares() {
	reachable := 0
	for i := range s.nodes {
		if !s.nodes[i].Unreachable && !s.nodes[i].Leaving {
			reachable++
		}
	}
	for k := range s.keys {
		even := s.params.EvenShare
		if s.demand[k]*float64(grant.PerRequest) <= idleDemandFraction*s.target[k] {
			even = 1
		}
		for i := range s.nodes {
			n := &s.nodes[i]
			if n.Unreachable {
				continue
			}
			part := 0.0
			if !n.Leaving {
				part = even / float64(reachable)
				s.evenShare[k] = part * s.target[k]
			}
			if s.demand[k] > 0 {
				part += (1 - even) * n.Demand[k] / s.demand[k]
			}
			s.share[i][k] = part * s.target[k]
		}
	}
}

// limitLinks reduces the shares of nodes outside a region to the capacity of its
// link and moves the excess to the nodes inside.
func (s *split) limitLinks() {
	for name, limit := range s.link {
		s.limitLink(name, max(limit, 0))
	}
}

func (s *split) limitLink(name model.RegionName, limit float64) {
	outside := 0.0
	for i := range s.nodes {
		if s.nodes[i].Region == name {
			continue
		}
		for k := range s.keys {
			if s.keyRegion[k] == name {
				outside += s.share[i][k]
			}
		}
	}
	if outside <= limit {
		return
	}
	for k := range s.keys {
		if s.keyRegion[k] == name {
			s.moveInside(k, limit/outside)
		}
	}
}

func (s *split) moveInside(k int, factor float64) {
	freed := 0.0
	inside := 0.0
	for i := range s.nodes {
		if s.nodes[i].Region == s.keyRegion[k] {
			inside += s.share[i][k]
			continue
		}
		freed += s.share[i][k] * (1 - factor)
		s.share[i][k] *= factor
	}
	if inside <= 0 {
		return
	}
	for i := range s.nodes {
		if s.nodes[i].Region == s.keyRegion[k] {
			s.share[i][k] *= 1 + freed/inside
		}
	}
}

func matrix[T any](rows, columns int) [][]T {
	flat := make([]T, rows*columns)
	m := make([][]T, rows)
	for i := range m {
		m[i] = flat[i*columns : (i+1)*columns]
	}
	return m
}
