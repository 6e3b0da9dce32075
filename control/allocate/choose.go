package allocate

import (
	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// tooLittle is the part of its share below which a node gets more before it
// uses all it has: it is new, or has lost most of it.
const tooLittle = 0.5

// atRest is the part of its grant that a node may use and still leave the rest
// to others.
//
// Guard against grants that follow the order of reports: of nodes whose callers
// come at the same time the first one to report is the only one with demand,
// and its share is nearly all there is. Raised to that, it took from the others
// what they were about to need, and their callers waited for two seconds. A node
// with this much room gets more only of what nobody has.
const atRest = 0.4

// nearShare is the part of its share up to which a node is given what nobody has.
const nearShare = 0.8

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
	s.fillFree()
}

func (s *split) choose(i, k int) ledger.Amounts {
	n := &s.nodes[i]
	have := n.Current[k]
	if n.Unreachable {
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
	short := used > total*s.params.RaiseThreshold && wanted > total*(1+leastRaise)
	filling := used > total*atRest && total < wanted*tooLittle
	if short || filling || total < min(wanted, s.even[k])*tooLittle {
		return share
	}
	return have
}

// amounts divides a node's share into floor and surplus.
func (s *split) amounts(i, k int) ledger.Amounts { return s.divide(s.share[i][k], k) }

func (s *split) divide(share float64, k int) ledger.Amounts {
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
		if !s.nodes[i].Unreachable {
			sum += float64(s.wishes[i][k].Total())
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
		if n.Unreachable || !of(n) {
			continue
		}
		share := s.amounts(i, k)
		if s.wishes[i][k].Total() > share.Total() {
			s.wishes[i][k] = share
		}
	}
}

// fillFree gives nodes that have less than their share, but room for now, more
// of what is in no wish. Nobody is lowered for it.
func (s *split) fillFree() {
	spare := make([]float64, len(s.keys))
	for k := range s.keys {
		spare[k] = s.target[k] - s.takeWishes(k)
	}
	for k := range s.keys {
		s.fillKey(k, spare[k])
	}
}

// takeWishes takes the wishes for a key from what there is of its region and of
// the link into it, and returns their sum.
func (s *split) takeWishes(k int) (sum float64) {
	entering := 0.0
	for i := range s.nodes {
		if s.nodes[i].Unreachable {
			continue
		}
		total := float64(s.wishes[i][k].Total())
		sum += total
		if s.nodes[i].Region != s.to[k] {
			entering += total
		}
	}
	s.region[s.to[k]] -= sum
	s.link[s.to[k]] -= entering
	return sum
}

func (s *split) fillKey(k int, spare float64) {
	region := s.to[k]
	left, link := min(spare, s.region[region]), s.link[region]
	for i := range s.nodes {
		room := left
		if s.nodes[i].Region != region {
			room = min(room, link)
		}
		given := s.fillNode(i, k, room)
		left -= given
		s.region[region] -= given
		if s.nodes[i].Region != region {
			link -= given
		}
	}
	s.link[region] = link
}

// fillNode raises a wish towards the node's share by at most room and returns
// by how much.
func (s *split) fillNode(i, k int, room float64) float64 {
	total := float64(s.wishes[i][k].Total())
	share := s.share[i][k]
	if s.nodes[i].Unreachable || s.nodes[i].Leaving || total >= share*nearShare {
		return 0
	}
	given := min(share-total, room)
	if given <= total*leastRaise || given < float64(grant.PerRequest) {
		return 0
	}
	s.wishes[i][k] = s.divide(total+given, k)
	return given
}
