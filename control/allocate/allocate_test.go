package allocate

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// testLimits returns the limits of one service in one place of each of two regions.
func testLimits(rps, region, link float64) *ledger.Limits {
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

func testNode(region model.RegionName, e, w float64) Node {
	return Node{
		Region:  region,
		Demand:  []float64{e, w},
		Current: make([]ledger.Amounts, 2),
		InForce: make([]ledger.Amounts, 2),
	}
}

func testSplit(l *ledger.Limits, nodes []Node) [][]ledger.Amounts {
	return Split(l, l.Keys(), nodes, DefaultParams())
}

// applySplit grants the nodes their requested allocations.
func applySplit(l *ledger.Limits, nodes []Node) {
	for i, w := range testSplit(l, nodes) {
		copy(nodes[i].Current, w)
		copy(nodes[i].InForce, w)
	}
}

func sum(allocations [][]ledger.Amounts, k int) (floor, total grant.Amount) {
	for _, w := range allocations {
		floor += w[k].Floor
		total += w[k].Total()
	}
	return floor, total
}

// The unassigned part and the surplus part of a capacity must be kept at any demand.
func TestUnassignedAndSurplusPartsKept(t *testing.T) {
	l := testLimits(100, 1000, 1000)
	nodes := []Node{testNode("east", 90, 0), testNode("east", 500, 0), testNode("west", 0, 3)}
	allocations := testSplit(l, nodes)
	for k := range 2 {
		floor, total := sum(allocations, k)
		if floor > ledger.AmountFromRPS(70) || total > ledger.AmountFromRPS(95) || total < ledger.AmountFromRPS(94) {
			t.Errorf("key %d: floors %d, total %d", k, floor, total)
		}
	}
	if allocations[1][0].Total() < 3*allocations[0][0].Total() {
		t.Errorf("allocations do not follow demand: %v %v", allocations[0][0], allocations[1][0])
	}
}

// Small fluctuations of demand must not change an allocation. Other nodes are lowered
// only when one runs short.
func TestAllocationsKeptUntilNodeIsShort(t *testing.T) {
	l := testLimits(100, 1000, 1000)
	nodes := []Node{testNode("east", 20, 0), testNode("east", 22, 0), testNode("east", 21, 0)}
	applySplit(l, nodes)
	before := append([]ledger.Amounts(nil), nodes[0].Current...)
	nodes[0].Demand[0], nodes[1].Demand[0], nodes[2].Demand[0] = 23, 19, 22
	for i, w := range testSplit(l, nodes) {
		if w[0] != nodes[i].Current[0] {
			t.Errorf("node %d changed from %v to %v", i, nodes[i].Current[0], w[0])
		}
	}
	nodes[0].Demand[0] = 60
	applySplit(l, nodes)
	if nodes[0].Current[0].Total() <= before[0].Total() || nodes[1].Current[0].Total() >= before[0].Total() {
		t.Errorf("short node %v, other %v", nodes[0].Current[0], nodes[1].Current[0])
	}
}

// When callers reach all nodes at once, the first node to report has nearly all known
// demand. While its grant is sufficient, the others must not be lowered.
func TestFirstReportDoesNotLowerOthers(t *testing.T) {
	l := testLimits(100, 1000, 1000)
	nodes := []Node{testNode("east", 0, 0), testNode("east", 0, 0), testNode("east", 0, 0), testNode("east", 0, 0)}
	applySplit(l, nodes)
	nodes[0].Demand[0] = 5
	for i, w := range testSplit(l, nodes) {
		if w[0] != nodes[i].Current[0] {
			t.Errorf("node %d changed from %v to %v", i, nodes[i].Current[0], w[0])
		}
	}
}

// When callers reach all nodes at once and a plan is made between their reports, the nodes
// that have reported need no more than they have; the others must not be lowered just
// before theirs.
func TestReportsOfSomeNodesDoNotLowerOthers(t *testing.T) {
	l := testLimits(100, 1000, 1000)
	var nodes []Node
	for range 4 {
		nodes = append(nodes, testNode("east", 0, 0), testNode("west", 0, 0))
	}
	applySplit(l, nodes)
	for i, demand := range []float64{5.5, 0, 5.5, 0, 1, 0, 1, 0} {
		nodes[i].Demand[0] = demand
	}
	for i, w := range testSplit(l, nodes) {
		if w[0] != nodes[i].Current[0] {
			t.Errorf("node %d changed from %v to %v", i, nodes[i].Current[0], w[0])
		}
	}
}

// The decaying average of one node's past callers, as the only demand left, must not
// keep most of the capacity on that node.
func TestResidualDemandIsIgnored(t *testing.T) {
	l := testLimits(100, 1000, 1000)
	nodes := []Node{testNode("east", 80, 0), testNode("east", 0, 0), testNode("east", 0, 0), testNode("east", 0, 0)}
	applySplit(l, nodes)
	first := nodes[0].Current[0].Total()
	nodes[0].Demand[0] = 4
	applySplit(l, nodes)
	if first < 2*nodes[0].Current[0].Total() {
		t.Errorf("first node has %d, had %d before", nodes[0].Current[0].Total(), first)
	}
	for i := range nodes {
		if nodes[i].Current[0] != nodes[0].Current[0] {
			t.Errorf("node %d has %v, first node %v", i, nodes[i].Current[0], nodes[0].Current[0])
		}
	}
}

// An unreachable node keeps its floor. If the others requested that part too, the
// ledger could never grant it.
func TestFloorsOfUnreachableNodesExcluded(t *testing.T) {
	l := testLimits(100, 1000, 1000)
	nodes := []Node{testNode("east", 50, 0), testNode("east", 50, 0)}
	applySplit(l, nodes)
	nodes[1].Unreachable = true
	nodes[1].InForce[0].Surplus = 0
	floor := nodes[1].InForce[0].Floor
	allocations := testSplit(l, nodes)
	if got := allocations[0][0].Total(); got > ledger.AmountFromRPS(95)-floor {
		t.Errorf("allocation %d beside an unreachable floor of %d", got, floor)
	}
	if allocations[1][0] != (ledger.Amounts{Floor: floor}) {
		t.Errorf("allocation of an unreachable node is %v", allocations[1][0])
	}
}

// When all demand for a region comes from outside, the allocations must fit the link
// and the region, and must use the link.
func TestLinkAndRegionLimitAllocations(t *testing.T) {
	l := testLimits(100, 60, 30)
	nodes := []Node{testNode("west", 200, 0), testNode("west", 200, 0), testNode("east", 1, 0)}
	allocations := testSplit(l, nodes)
	var entering, inside grant.Amount
	for i, w := range allocations {
		inside += w[0].Total()
		if nodes[i].Region != "east" {
			entering += w[0].Total()
		}
	}
	if entering > ledger.AmountFromRPS(30) || entering < ledger.AmountFromRPS(25) {
		t.Errorf("%d enter over a link of 30 requests/s", entering)
	}
	if inside > ledger.AmountFromRPS(60) {
		t.Errorf("%d in a region of 60 requests/s", inside)
	}
}
