// Package allocate splits the capacity of one client account over its nodes.
// It is pure. What it returns are wishes: the ledger gives them as far as what
// is out already allows.
//
// A node keeps what it has while that is enough and nobody else needs it, so
// that steady demand causes no change, no message and no write.
package allocate

import (
	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// Params weigh the split. All are shares from 0 to 1.
type Params struct {
	// FloorShare is the largest part of a capacity given as floors, which
	// stay through outages; the rest can be moved at any time.
	FloorShare float64
	// Unassigned is the part of a capacity left for new nodes.
	Unassigned float64
	// EvenShare is the part given to all nodes alike; it lets a node serve
	// demand that it has not seen yet.
	EvenShare float64
	// RaiseThreshold is the part of its grant a node may use before it gets more.
	RaiseThreshold float64
}

// DefaultParams returns the weights in use.
func DefaultParams() Params {
	return Params{FloorShare: 0.7, Unassigned: 0.05, EvenShare: 0.25, RaiseThreshold: 0.85}
}

// Node is what the split needs to know of one node. Slices are in the order
// of the keys.
type Node struct {
	Region model.RegionName
	// Demand is what the node would send, requests/s.
	Demand []float64
	// Current is what the node was last given as a wish, InForce what may be in
	// force on it.
	Current, InForce []ledger.Amounts
	// Unreachable nodes cannot be told anything: what is in force stays.
	Unreachable bool
	// Leaving nodes get only what they use.
	Leaving bool
}

// Split returns the wishes of all nodes, in the order of nodes and keys.
func Split(limits *ledger.Limits, keys []ledger.Key, nodes []Node, p Params) [][]ledger.Amounts {
	s := newSplit(limits, keys, nodes, p)
	s.limitKeys()
	s.limitRegions()
	s.shareOut()
	s.limitLinks()
	s.chooseAll()
	return s.wishes
}

type split struct {
	params Params
	limits *ledger.Limits
	keys   []ledger.Key
	nodes  []Node
	// to is the region of each key's place.
	to []model.RegionName
	// demand is the sum over nodes.
	demand []float64
	// target is what all nodes together should have of each key, floors the
	// largest sum of floors in it.
	target, floors []float64
	// share is what each node should have: nodes by keys.
	share [][]float64
	// even is the part of a share that does not depend on demand, by keys.
	even   []float64
	region map[model.RegionName]float64
	link   map[model.RegionName]float64
	wishes [][]ledger.Amounts
}

func newSplit(limits *ledger.Limits, keys []ledger.Key, nodes []Node, p Params) *split {
	s := &split{
		params: p,
		limits: limits,
		keys:   keys,
		nodes:  nodes,
		to:     make([]model.RegionName, len(keys)),
		demand: make([]float64, len(keys)),
		target: make([]float64, len(keys)),
		floors: make([]float64, len(keys)),
		share:  matrix[float64](len(nodes), len(keys)),
		even:   make([]float64, len(keys)),
		region: make(map[model.RegionName]float64),
		link:   make(map[model.RegionName]float64),
		wishes: matrix[ledger.Amounts](len(nodes), len(keys)),
	}
	for k, key := range keys {
		s.to[k] = limits.RegionOf(key.Place)
	}
	return s
}

// limitKeys sets the target of each key to its capacity, less what is left
// unassigned and what silent nodes hold.
func (s *split) limitKeys() {
	usable := 1 - s.params.Unassigned
	for k, key := range s.keys {
		capacity := float64(s.limits.Capacity(key))
		s.target[k] = capacity * usable
		s.floors[k] = capacity * s.params.FloorShare
		limit := s.limits.Region(s.to[k])
		s.region[s.to[k]] = float64(limit.Capacity) * usable
		s.link[s.to[k]] = float64(limit.LinkIn) * usable
	}
	for i := range s.nodes {
		s.countNode(&s.nodes[i])
	}
	for k := range s.keys {
		s.target[k] = max(s.target[k], 0)
		s.floors[k] = max(s.floors[k], 0)
	}
}

func (s *split) countNode(n *Node) {
	for k := range s.keys {
		if !n.Unreachable {
			s.demand[k] += n.Demand[k]
			continue
		}
		held := float64(n.InForce[k].Total())
		s.target[k] -= held
		s.floors[k] -= float64(n.InForce[k].Floor)
		s.region[s.to[k]] -= held
		if n.Region != s.to[k] {
			s.link[s.to[k]] -= held
		}
	}
}

// limitRegions brings the sum of the targets in a region under its capacity,
// in proportion to demand and a little to capacity.
func (s *split) limitRegions() {
	for name, capacity := range s.region {
		var members []int
		sum := 0.0
		for k := range s.keys {
			if s.to[k] == name {
				members = append(members, k)
				sum += s.target[k]
			}
		}
		if sum > capacity {
			s.fill(members, max(capacity, 0))
		}
	}
}

// capacityWeight is how much a key's capacity weighs beside its demand.
const capacityWeight = 0.1

// fill gives the members a sum of at most total, none more than its target.
func (s *split) fill(members []int, total float64) {
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

// fillRound gives each open member its part of the total; those that reach
// their limit leave, and what they could not take is shared in the next round.
func (s *split) fillRound(open []int, limit, weight map[int]float64, total, sum float64) ([]int, float64) {
	var still []int
	rest := 0.0
	for _, k := range open {
		part := total * weight[k] / sum
		room := limit[k] - s.target[k]
		if part >= room {
			s.target[k] = limit[k]
			rest += part - room
			continue
		}
		s.target[k] += part
		still = append(still, k)
	}
	if len(still) == len(open) {
		return nil, 0
	}
	return still, rest
}

// hardlyUsed is the part of a key's target up to which demand has no say in the
// split.
//
// Guard against a split by what is left of an average: callers of one node come and
// go before others have any, and its part of the demand stays all of it, however
// little that is. It shows as a node that holds three quarters of an idle capacity;
// the callers of the others wait when they come. The guard holds because all nodes
// are brought to the even part while there is hardly any demand.
const hardlyUsed = 0.05

// shareOut splits the target of each key over the nodes that can be reached.
func (s *split) shareOut() {
	reachable := 0
	for i := range s.nodes {
		if !s.nodes[i].Unreachable && !s.nodes[i].Leaving {
			reachable++
		}
	}
	for k := range s.keys {
		even := s.params.EvenShare
		if s.demand[k]*float64(grant.PerRequest) <= hardlyUsed*s.target[k] {
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
				s.even[k] = part * s.target[k]
			}
			if s.demand[k] > 0 {
				part += (1 - even) * n.Demand[k] / s.demand[k]
			}
			s.share[i][k] = part * s.target[k]
		}
	}
}

// limitLinks brings what nodes of other regions may send into a region under
// its link and gives the rest to the nodes inside.
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
			if s.to[k] == name {
				outside += s.share[i][k]
			}
		}
	}
	if outside <= limit {
		return
	}
	for k := range s.keys {
		if s.to[k] == name {
			s.moveInside(k, limit/outside)
		}
	}
}

func (s *split) moveInside(k int, factor float64) {
	freed := 0.0
	inside := 0.0
	for i := range s.nodes {
		if s.nodes[i].Region == s.to[k] {
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
		if s.nodes[i].Region == s.to[k] {
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
