package allocate

import (
	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// minShareFraction is the part of its even share below which a node is raised before it
// uses up its grant: it is new, or has lost most of its grant.
const minShareFraction = 0.5

// nearShareFraction is the part of its share up to which a node is raised from
// unallocated capacity.
const nearShareFraction = 0.8

// minRaiseFraction is the smallest raise relative to the current grant, because
// each raise costs a write of the ledger.
const minRaiseFraction = 0.05

// chooseAll sets the allocation of each node and key, unchanged where possible.
func (s *split) chooseAll() {
	for i := range s.nodes {
		for k := range s.keys {
			s.allocations[i][k] = s.choose(i, k)
		}
	}
	s.lowerOverLimits()
	s.distributeSpare()
}

func (s *split) choose(i, k int) ledger.Amounts {
	n := &s.nodes[i]
	current := n.Current[k]
	if n.Unreachable {
		return ledger.Amounts{Floor: current.Floor}
	}
	share := s.shareAmounts(i, k)
	total := float64(current.Total())
	wanted := float64(share.Total())
	if wanted <= total {
		if n.Leaving || s.target[k] <= 0 {
			return share
		}
		return current
	}
	used := n.Demand[k] * float64(grant.PerRequest)
	short := used > total*s.params.RaiseThreshold && wanted > total*(1+minRaiseFraction)
	if short || total < min(wanted, s.evenShare[k])*minShareFraction {
		return share
	}
	return current
}

func (s *split) shareAmounts(i, k int) ledger.Amounts { return s.splitFloorSurplus(s.share[i][k], k) }

func (s *split) splitFloorSurplus(share float64, k int) ledger.Amounts {
	part := s.params.FloorShare
	if s.target[k] > 0 {
		part = min(part, s.floors[k]/s.target[k])
	}
	floor := grant.Amount(share * part)
	return ledger.Amounts{Floor: floor, Surplus: grant.Amount(share) - min(floor, grant.Amount(share))}
}

// lowerOverLimits lowers nodes above their share wherever the allocations exceed a
// limit.
func (s *split) lowerOverLimits() {
	for k := range s.keys {
		if s.sumKey(k) > s.target[k] {
			s.lowerToShare(k, func(*Node) bool { return true })
		}
	}
	for name := range s.region {
		inside, entering := s.sumRegion(name)
		if inside > s.region[name] {
			s.lowerRegion(name, func(*Node) bool { return true })
		}
		if entering > s.link[name] {
			s.lowerRegion(name, func(n *Node) bool { return n.Region != name })
		}
	}
}

func (s *split) sumKey(k int) float64 {
	sum := 0.0
	for i := range s.nodes {
		if !s.nodes[i].Unreachable {
			sum += float64(s.allocations[i][k].Total())
		}
	}
	return sum
}

func (s *split) sumRegion(name model.RegionName) (inside, entering float64) {
	for i := range s.nodes {
		if s.nodes[i].Unreachable {
			continue
		}
		for k := range s.keys {
			if s.keyRegion[k] != name {
				continue
			}
			total := float64(s.allocations[i][k].Total())
			inside += total
			if s.nodes[i].Region != name {
				entering += total
			}
		}
	}
	return inside, entering
}

func (s *split) lowerRegion(name model.RegionName, of func(*Node) bool) {
	for k := range s.keys {
		if s.keyRegion[k] == name {
			s.lowerToShare(k, of)
		}
	}
}

func (s *split) lowerToShare(k int, of func(*Node) bool) {
	for i := range s.nodes {
		n := &s.nodes[i]
		if n.Unreachable || !of(n) {
			continue
		}
		share := s.shareAmounts(i, k)
		if s.allocations[i][k].Total() > share.Total() {
			s.allocations[i][k] = share
		}
	}
}

// distributeSpare raises nodes below their share from unallocated capacity, without
// lowering others.
func (s *split) distributeSpare() {
	spare := make([]float64, len(s.keys))
	for k := range s.keys {
		spare[k] = s.target[k] - s.subtractAllocations(k)
	}
	for k := range s.keys {
		s.distributeKey(k, spare[k])
	}
}

// subtractAllocations subtracts the allocations of a key from the limits of its
// region and of the link into it, and returns their sum.
func (s *split) subtractAllocations(k int) (sum float64) {
	entering := 0.0
	for i := range s.nodes {
		if s.nodes[i].Unreachable {
			continue
		}
		total := float64(s.allocations[i][k].Total())
		sum += total
		if s.nodes[i].Region != s.keyRegion[k] {
			entering += total
		}
	}
	s.region[s.keyRegion[k]] -= sum
	s.link[s.keyRegion[k]] -= entering
	return sum
}

func (s *split) distributeKey(k int, spare float64) {
	region := s.keyRegion[k]
	left, link := min(spare, s.region[region]), s.link[region]
	for i := range s.nodes {
		limit := left
		if s.nodes[i].Region != region {
			limit = min(limit, link)
		}
		raise := s.raiseNode(i, k, limit)
		left -= raise
		s.region[region] -= raise
		if s.nodes[i].Region != region {
			link -= raise
		}
	}
	s.link[region] = link
}

// raiseNode raises an allocation towards the node's share by at most limit and
// returns the raise.
func (s *split) raiseNode(i, k int, limit float64) float64 {
	total := float64(s.allocations[i][k].Total())
	share := s.share[i][k]
	if s.nodes[i].Unreachable || s.nodes[i].Leaving || total >= share*nearShareFraction {
		return 0
	}
	raise := min(share-total, limit)
	if raise <= total*minRaiseFraction || raise < float64(grant.PerRequest) {
		return 0
	}
	s.allocations[i][k] = s.splitFloorSurplus(total+raise, k)
	return raise
}
