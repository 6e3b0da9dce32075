package allocate

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// limits are those of one service in a place of each of two regions.
func limits(rps, region, link float64) *ledger.Limits {
	a := &model.Account{
		Regions: []model.Region{
			{Name: "east", CapacityRPS: region, LinkInRPS: link},
			{Name: "west", CapacityRPS: region, LinkInRPS: link},
		},
		Places: []model.Place{{Name: "e", Region: "east"}, {Name: "w", Region: "west"}},
		Services: []model.Service{{
			Name:     "desk",
			Capacity: []model.PlaceCapacity{{Place: "e", RPS: rps}, {Place: "w", RPS: rps}},
		}},
	}
	return ledger.NewLimits(a)
}

func node(region model.RegionName, e, w float64) Node {
	return Node{
		Region:  region,
		Demand:  []float64{e, w},
		Current: make([]ledger.Amounts, 2),
		InForce: make([]ledger.Amounts, 2),
	}
}

func wish(l *ledger.Limits, nodes []Node) [][]ledger.Amounts {
	return Split(l, l.Keys(), nodes, DefaultParams())
}

// settle gives the nodes what they wish for.
func settle(l *ledger.Limits, nodes []Node) {
	for i, w := range wish(l, nodes) {
		copy(nodes[i].Current, w)
		copy(nodes[i].InForce, w)
	}
}

func sum(wishes [][]ledger.Amounts, k int) (floor, total grant.Amount) {
	for _, w := range wishes {
		floor += w[k].Floor
		total += w[k].Total()
	}
	return floor, total
}

// What steering leaves free for new nodes, and the part that can be moved at
// any time, must stay free whatever the demand.
func TestSharesOfACapacity(t *testing.T) {
	l := limits(100, 1000, 1000)
	nodes := []Node{node("east", 90, 0), node("east", 500, 0), node("west", 0, 3)}
	wishes := wish(l, nodes)
	for k := range 2 {
		floor, total := sum(wishes, k)
		if floor > ledger.AmountFromRPS(70) || total > ledger.AmountFromRPS(95) || total < ledger.AmountFromRPS(94) {
			t.Errorf("key %d: floors %d of %d", k, floor, total)
		}
	}
	if wishes[1][0].Total() < 3*wishes[0][0].Total() {
		t.Errorf("the demand does not show: %v %v", wishes[0][0], wishes[1][0])
	}
}

// Steady demand that moves by chance must not change any wish; a node that
// runs short must get more, and only then do others get less.
func TestWishesStayUntilSomeoneIsShort(t *testing.T) {
	l := limits(100, 1000, 1000)
	nodes := []Node{node("east", 20, 0), node("east", 22, 0), node("east", 21, 0)}
	settle(l, nodes)
	before := append([]ledger.Amounts(nil), nodes[0].Current...)
	nodes[0].Demand[0], nodes[1].Demand[0], nodes[2].Demand[0] = 23, 19, 22
	for i, w := range wish(l, nodes) {
		if w[0] != nodes[i].Current[0] {
			t.Errorf("node %d changed from %v to %v", i, nodes[i].Current[0], w[0])
		}
	}
	nodes[0].Demand[0] = 60
	settle(l, nodes)
	if nodes[0].Current[0].Total() <= before[0].Total() || nodes[1].Current[0].Total() >= before[0].Total() {
		t.Errorf("short node %v, other %v", nodes[0].Current[0], nodes[1].Current[0])
	}
}

// Callers come to all nodes at the same time, and one node is the first to
// report them. It has room for them. If it got its share of the demand known so
// far, nearly all there is, the others would be lowered to what they had
// before their callers came, and these would wait for a second raise.
func TestFirstReportTakesNothingFromOthers(t *testing.T) {
	l := limits(100, 1000, 1000)
	nodes := []Node{node("east", 0, 0), node("east", 0, 0), node("east", 0, 0), node("east", 0, 0)}
	settle(l, nodes)
	nodes[0].Demand[0] = 5
	for i, w := range wish(l, nodes) {
		if w[0] != nodes[i].Current[0] {
			t.Errorf("node %d changed from %v to %v", i, nodes[i].Current[0], w[0])
		}
	}
}

// Callers of one node come before the others report, and go. Its average of
// them is all the demand there is for a while. If it kept all that is split by
// demand, the callers who then come to the others would wait.
func TestRestOfDemandHoldsNothing(t *testing.T) {
	l := limits(100, 1000, 1000)
	nodes := []Node{node("east", 80, 0), node("east", 0, 0), node("east", 0, 0), node("east", 0, 0)}
	settle(l, nodes)
	first := nodes[0].Current[0].Total()
	nodes[0].Demand[0] = 4
	settle(l, nodes)
	if first < 2*nodes[0].Current[0].Total() {
		t.Errorf("the first node has %d and had %d", nodes[0].Current[0].Total(), first)
	}
	for i := range nodes {
		if nodes[i].Current[0] != nodes[0].Current[0] {
			t.Errorf("node %d has %v, the first %v", i, nodes[i].Current[0], nodes[0].Current[0])
		}
	}
}

// A node that cannot be reached keeps its floor. The others must be given only
// the rest, or the ledger would hold back a raise for one of them for good.
func TestFloorsOfSilentNodesAreLeftOut(t *testing.T) {
	l := limits(100, 1000, 1000)
	nodes := []Node{node("east", 50, 0), node("east", 50, 0)}
	settle(l, nodes)
	nodes[1].Unreachable = true
	nodes[1].InForce[0].Surplus = 0
	floor := nodes[1].InForce[0].Floor
	wishes := wish(l, nodes)
	if got := wishes[0][0].Total(); got > ledger.AmountFromRPS(95)-floor {
		t.Errorf("wishes for %d beside a silent floor of %d", got, floor)
	}
	if wishes[1][0] != (ledger.Amounts{Floor: floor}) {
		t.Errorf("a silent node's wish is %v", wishes[1][0])
	}
}

// All demand for one region comes from outside. The wishes must fit the link
// and the region, and the link must be used.
func TestLinkAndRegionBoundTheWishes(t *testing.T) {
	l := limits(100, 60, 30)
	nodes := []Node{node("west", 200, 0), node("west", 200, 0), node("east", 1, 0)}
	wishes := wish(l, nodes)
	var entering, inside grant.Amount
	for i, w := range wishes {
		inside += w[0].Total()
		if nodes[i].Region != "east" {
			entering += w[0].Total()
		}
	}
	if entering > ledger.AmountFromRPS(30) || entering < ledger.AmountFromRPS(25) {
		t.Errorf("%d enter by a link of 30 requests/s", entering)
	}
	if inside > ledger.AmountFromRPS(60) {
		t.Errorf("%d in a region of 60 requests/s", inside)
	}
}
