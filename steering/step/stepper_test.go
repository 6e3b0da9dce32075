package step

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// move is an observed increase of the effective shares of one flow.
type move struct {
	at   time.Time
	flow int
	ppm  uint32
}

func totalIncrease(before, after []plan.Share) uint32 {
	sum := uint32(0)
	for _, p := range mergeShares(before, after) {
		sum += p.increase()
	}
	return sum
}

func sumOf(shares []plan.Share) uint32 {
	sum := uint32(0)
	for _, s := range shares {
		sum += s.PPM
	}
	return sum
}

// drawShares draws shares of up to five places that add up to plan.Whole, or none.
func drawShares(t *rapid.T) []plan.Share {
	weights := rapid.SliceOfN(rapid.Uint32Range(0, 9), 5, 5).Draw(t, "weights")
	total := uint32(0)
	for _, w := range weights {
		total += w
	}
	if total == 0 {
		return nil
	}
	var shares []plan.Share
	left := uint32(plan.Whole)
	for i, w := range weights {
		if w == 0 {
			continue
		}
		shares = append(shares, plan.Share{Place: model.PlaceName(fmt.Sprint("p", i)), PPM: plan.Whole / total * w})
		left -= plan.Whole / total * w
	}
	shares[0].PPM += left
	return shares
}

// The weighted increases in every sliding window stay under the cap, also when
// plans change faster than the window, alternate or are skipped.
func TestIncreasesStayUnderCapInEveryWindow(t *testing.T) {
	rapid.Check(t, checkWindows)
}

func checkWindows(t *rapid.T) {
	const flows = 3
	now := epochStart
	share := rapid.Float64Range(0.01, 0.9).Draw(t, "cap")
	window := time.Duration(rapid.IntRange(1, 100).Draw(t, "window")) * time.Second
	limits := model.MoveLimits{Share: share, Window: window}
	stepper := New(limits, func() time.Time { return now })
	weights := drawWeights(t, flows)
	last := make([][]plan.Share, flows)
	var moves []move
	sequence := uint64(0)
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	target := &plan.Plan{}
	for range steps {
		now = now.Add(drawPause(t, window))
		if rapid.Bool().Draw(t, "new plan") {
			sequence++
			target = &plan.Plan{Sequence: sequence, Flows: drawFlows(t, flows)}
		}
		effective, _ := stepper.Advance(target)
		for i := range effective.Flows {
			f := &effective.Flows[i]
			at := int(f.Caller[0] - 'a')
			if len(f.Shares) > 0 && sumOf(f.Shares) != plan.Whole {
				t.Fatalf("shares add up to %d", sumOf(f.Shares))
			}
			if last[at] != nil {
				moves = append(moves, move{now, at, totalIncrease(last[at], f.Shares)})
			}
			if len(f.Shares) > 0 {
				last[at] = f.Shares
			}
		}
	}
	requireUnderCap(t, moves, weights, limits)
}

func drawWeights(t *rapid.T, n int) []float64 {
	weights := make([]float64, n)
	sum := 0.0
	for i := range weights {
		weights[i] = rapid.Float64Range(0, 1).Draw(t, "weight")
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= max(sum, 1e-9)
	}
	return weights
}

// drawPause returns a fraction of a window, or sometimes several windows.
func drawPause(t *rapid.T, window time.Duration) time.Duration {
	if rapid.IntRange(0, 9).Draw(t, "paused") == 0 {
		return window * time.Duration(rapid.IntRange(0, 5).Draw(t, "windows"))
	}
	thousandths := rapid.SampledFrom([]int{0, 7, 9, 12, 50, 300}).Draw(t, "pause")
	return window * time.Duration(thousandths) / 1000
}

// drawFlows omits some flows at random.
func drawFlows(t *rapid.T, n int) []plan.Flow {
	var flows []plan.Flow
	for i := range n {
		if rapid.IntRange(0, 7).Draw(t, "left out") == 0 {
			continue
		}
		caller := model.RegionName(string(rune('a' + i)))
		flows = append(flows, plan.Flow{Service: "s", Caller: caller, Shares: drawShares(t)})
	}
	return flows
}

// requireUnderCap checks the cap in each window that ends at a move.
func requireUnderCap(t *rapid.T, moves []move, weights []float64, limits model.MoveLimits) {
	for _, end := range moves {
		sum := 0.0
		for _, m := range moves {
			age := end.at.Sub(m.at)
			if age >= 0 && age <= limits.Window {
				sum += weights[m.flow] * float64(m.ppm)
			}
		}
		if sum > limits.Share*plan.Whole+1e-6 {
			t.Fatalf("moved %.0f ppm in the window that ends at %v, cap %.0f", sum, end.at, limits.Share*plan.Whole)
		}
	}
}

func singleFlowPlan(sequence uint64, shares ...plan.Share) *plan.Plan {
	return &plan.Plan{Sequence: sequence, Flows: []plan.Flow{{Service: "s", Caller: "a", Shares: shares}}}
}

// Moves made under a shorter window count after the window is lengthened.
// Otherwise the change would allow a second full cap at once.
func TestLongerWindowCountsOldMoves(t *testing.T) {
	now := epochStart
	s := New(model.MoveLimits{Share: 0.1, Window: time.Minute}, func() time.Time { return now })
	s.Advance(singleFlowPlan(1, plan.Share{Place: "a", PPM: plan.Whole}))
	goal := singleFlowPlan(2, plan.Share{Place: "b", PPM: plan.Whole})
	s.Advance(goal)
	now = now.Add(2 * time.Minute)
	s.Advance(goal)
	now = now.Add(2 * time.Minute)
	s.SetLimits(model.MoveLimits{Share: 0.25, Window: 10 * time.Minute})
	effective, held := s.Advance(goal)
	if got := effective.Flows[0].Shares[0].PPM; got != 750_000 || !held {
		t.Fatalf("remaining share of a is %d ppm, held %v, want 750000 and true", got, held)
	}
}

// A full move completes at the rate of the cap. Merged history entries must not
// hold it back.
func TestFullMoveCompletesAtCapRate(t *testing.T) {
	now := epochStart
	s := New(model.MoveLimits{Share: 0.1, Window: time.Minute}, func() time.Time { return now })
	s.Advance(singleFlowPlan(1, plan.Share{Place: "a", PPM: plan.Whole}))
	goal := singleFlowPlan(2, plan.Share{Place: "b", PPM: plan.Whole})
	halves := 0
	for held := true; held; halves++ {
		_, held = s.Advance(goal)
		now = now.Add(500 * time.Millisecond)
		if halves > 1200 {
			t.Fatal("moving a whole flow under a cap of 10% a minute takes over 600 s")
		}
	}
	if halves < 1080 {
		t.Fatalf("the move took %d half seconds, want at least 1080 (nine windows)", halves)
	}
}

// A plan without places for a flow does not reset the flow's shares. Otherwise
// the next plan could move all of it at once.
func TestPlanWithoutPlacesKeepsMoveCap(t *testing.T) {
	s := New(model.MoveLimits{Share: 0.1, Window: time.Minute}, func() time.Time { return epochStart })
	s.Advance(singleFlowPlan(1, plan.Share{Place: "a", PPM: plan.Whole}))
	s.Advance(singleFlowPlan(2))
	effective, held := s.Advance(singleFlowPlan(3, plan.Share{Place: "b", PPM: plan.Whole}))
	if got := totalIncrease([]plan.Share{{Place: "a", PPM: plan.Whole}}, effective.Flows[0].Shares); got != 100_000 || !held {
		t.Fatalf("moved %d ppm after a plan without places, held %v, want 100000 and true", got, held)
	}
}

// A delayed older plan does not replace a newer one.
func TestOlderPlanIsIgnored(t *testing.T) {
	s := New(model.MoveLimits{Share: 1, Window: time.Minute}, func() time.Time { return epochStart })
	s.Advance(singleFlowPlan(2, plan.Share{Place: "b", PPM: plan.Whole}))
	effective, _ := s.Advance(singleFlowPlan(1, plan.Share{Place: "a", PPM: plan.Whole}))
	if effective.Sequence != 2 {
		t.Fatalf("sequence %d after a delayed older plan, want 2", effective.Sequence)
	}
}

// The traffic moved by all nodes together stays under the cap, whatever part of
// each flow a node carries and whichever plans it skips.
func TestSumOverNodesStaysUnderCap(t *testing.T) {
	rapid.Check(t, checkNodes)
}

func checkNodes(t *rapid.T) {
	const nodes, flows = 3, 2
	now := epochStart
	limits := model.MoveLimits{Share: rapid.Float64Range(0.05, 0.5).Draw(t, "cap"), Window: time.Minute}
	weights := drawWeights(t, nodes*flows)
	steppers := make([]*Stepper, nodes)
	last := make([]*plan.Plan, nodes)
	for i := range steppers {
		steppers[i] = New(limits, func() time.Time { return now })
	}
	var moves []move
	for sequence := range uint64(rapid.IntRange(1, 40).Draw(t, "plans")) {
		now = now.Add(drawPause(t, limits.Window))
		target := &plan.Plan{Sequence: sequence + 1, Flows: []plan.Flow{
			{Service: "s", Caller: "a", Shares: drawShares(t)}, {Service: "s", Caller: "b", Shares: drawShares(t)},
		}}
		for n := range steppers {
			if last[n] != nil && rapid.IntRange(0, 2).Draw(t, "paused") == 0 {
				continue
			}
			effective, _ := steppers[n].Advance(target)
			for f := range effective.Flows {
				if last[n] != nil && len(last[n].Flows[f].Shares) > 0 {
					moves = append(moves, move{now, n*flows + f, totalIncrease(last[n].Flows[f].Shares, effective.Flows[f].Shares)})
				}
			}
			last[n] = effective
		}
	}
	requireUnderCap(t, moves, weights, limits)
}

// Nodes call Advance every second, so a call with an applied plan must not
// allocate.
func TestAdvanceAppliedPlanDoesNotAllocate(t *testing.T) {
	s := New(model.MoveLimits{Share: 0.1, Window: time.Minute}, func() time.Time { return epochStart })
	target := singleFlowPlan(1, plan.Share{Place: "a", PPM: plan.Whole})
	s.Advance(target)
	if n := testing.AllocsPerRun(100, func() { s.Advance(target) }); n != 0 {
		t.Fatalf("%v allocations per call, want 0", n)
	}
}

// A node whose cap is used up still reports the version of the newest plan.
func TestHeldNodeReportsNewestPlan(t *testing.T) {
	s := New(model.MoveLimits{Share: 0.1, Window: time.Minute}, func() time.Time { return epochStart })
	s.Advance(singleFlowPlan(1, plan.Share{Place: "a", PPM: plan.Whole}))
	s.Advance(singleFlowPlan(2, plan.Share{Place: "b", PPM: plan.Whole}))
	effective, held := s.Advance(singleFlowPlan(3, plan.Share{Place: "c", PPM: plan.Whole}))
	if effective.Sequence != 3 || !held {
		t.Fatalf("sequence %d, held %v, want 3 and true", effective.Sequence, held)
	}
}
