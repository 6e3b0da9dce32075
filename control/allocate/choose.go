package allocate

import (
	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// tooLittle is the part of its share below which a node gets more even if it
// does not use what it has: it is new, or has lost most of it.
const tooLittle = 0.5

// leastRaise is the part of what a node has that a raise must be worth: each
// costs a write of the ledger.
const leastRaise = 0.05

// chooseAll decides for each node and key whether it keeps what it has.
func (s *split) chooseAll() {
	for i := range s.nodes {
		for k := range s.keys {
			s.wishes[i][k] = s.choose(i, k)
		}
	}
	s.relieve()
}

func (s *split) choose(i, k int) ledger.Amounts {
	n := &s.nodes[i]
	have := n.Have[k]
	if n.Silent {
		return ledger.Amounts{Floor: have.Floor}
	}
	share := s.amounts(i, k)
	total := float64(have.Total())
	wanted := float64(share.Total())
	if wanted <= total {
		if n.Leaving || s.target[k] <= 0 {
			return share
		}
		return have
	}
	used := n.Demand[k] * float64(grant.PerRequest)
	short := used > total*s.params.Enough && wanted > total*(1+leastRaise)
	if short || total < wanted*tooLittle {
		return share
	}
	return have
}

// amounts divides a node's share into floor and surplus.
func (s *split) amounts(i, k int) ledger.Amounts {
	share := s.share[i][k]
	part := s.params.FloorShare
	if s.target[k] > 0 {
		part = min(part, s.floors[k]/s.target[k])
	}
	floor := grant.Amount(share * part)
	return ledger.Amounts{Floor: floor, Surplus: grant.Amount(share) - min(floor, grant.Amount(share))}
}

// relieve lowers the nodes that have more than their share wherever the sum
// of the wishes passes what there is.
func (s *split) relieve() {
	for k := range s.keys {
		if s.sumKey(k) > s.target[k] {
			s.lower(k, func(*Node) bool { return true })
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
		if !s.nodes[i].Silent {
			sum += float64(s.wishes[i][k].Total())
		}
	}
	return sum
}

func (s *split) sumRegion(name model.RegionName) (inside, entering float64) {
	for i := range s.nodes {
		if s.nodes[i].Silent {
			continue
		}
		for k := range s.keys {
			if s.to[k] != name {
				continue
			}
			total := float64(s.wishes[i][k].Total())
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
		if s.to[k] == name {
			s.lower(k, of)
		}
	}
}

func (s *split) lower(k int, of func(*Node) bool) {
	for i := range s.nodes {
		n := &s.nodes[i]
		if n.Silent || !of(n) {
			continue
		}
		share := s.amounts(i, k)
		if s.wishes[i][k].Total() > share.Total() {
			s.wishes[i][k] = share
		}
	}
}
