package steering

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// drawInput draws an account with any mix of loads, failures, stale or missing
// measurements, recent moves and a previous plan.
func drawInput(t *rapid.T) Input {
	a := newAccount(rapid.IntRange(1, 4).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "places"), rapid.IntRange(1, 2).Draw(t, "services"))
	a.Moves.Share = rapid.Float64Range(0, 1).Draw(t, "cap")
	a.Policy.LatencyWeight = rapid.Float64Range(0, 1).Draw(t, "latency weight")
	a.Policy.HeadroomWeight = 1 - a.Policy.LatencyWeight
	a.Policy.Headroom = rapid.Float64Range(0, 0.9).Draw(t, "headroom")
	for i := range a.Regions {
		a.Regions[i].CapacityRPS *= rapid.Float64Range(0.1, 1).Draw(t, "region")
		a.Regions[i].LinkInRPS *= rapid.Float64Range(0, 1).Draw(t, "link")
	}
	first := newInput(a, rapid.Float64Range(0.1, 1).Draw(t, "load before"))
	in := newInput(a, rapid.Float64Range(0, 2).Draw(t, "load"))
	if rapid.IntRange(0, 9).Draw(t, "first") > 0 {
		in.Previous = Decide(first).Plan
	}
	if rapid.Bool().Draw(t, "removed") {
		// The previous plan contains a place that was removed.
		a.Places = a.Places[1:]
	}
	for i := range in.Places {
		drawState(t, &in.Places[i])
	}
	in.Places = in.Places[rapid.IntRange(0, len(in.Places)/2).Draw(t, "unknown"):]
	for i := range in.Demand {
		in.Demand[i].Age = drawAge(t)
		in.Demand[i].RPS *= rapid.Float64Range(0, 2).Draw(t, "demand")
	}
	drawMoves(t, &in)
	return in
}

func drawAge(t *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{0, 3 * time.Second, 20 * time.Second, FreezeAge, time.Hour}).Draw(t, "age")
}

func drawState(t *rapid.T, s *PlaceState) {
	s.Age = drawAge(t)
	s.Usable = rapid.SampledFrom([]int{10, 10, 10, 5, 0}).Draw(t, "usable")
	s.Unstable = min(s.Usable, rapid.SampledFrom([]int{0, 0, 0, 5, 10}).Draw(t, "unsteady"))
	s.FailureShare = rapid.SampledFrom([]float64{0, 0, 0, 0.1, 0.9}).Draw(t, "failures")
	s.P99 *= time.Duration(rapid.SampledFrom([]int{1, 1, 1, 2, 4}).Draw(t, "slowness"))
}

func drawMoves(t *rapid.T, in *Input) {
	for range rapid.IntRange(0, 6).Draw(t, "moves") {
		in.RecentMoves = append(in.RecentMoves, Move{
			Service: in.Account.Services[0].Name,
			Caller:  in.Account.Regions[0].Name,
			Place:   rapid.SampledFrom(in.Places).Draw(t, "place").Place,
			Delta:   rapid.Int32Range(-100_000, 100_000).Draw(t, "delta"),
			Cause:   rapid.SampledFrom([]Kind{KindLatency, KindFailure}).Draw(t, "cause"),
			Age:     time.Duration(rapid.IntRange(0, 120).Draw(t, "age")) * time.Second,
		})
	}
}

// For any input, a decision increases no load above a capacity, sends no more to
// failing, closed or stale places and respects the move cap.
func TestDecisionRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		d := Decide(in)
		if diff := cmp.Diff(d, Decide(in)); diff != "" {
			t.Fatalf("the same input gave different decisions:\n%s", diff)
		}
		checkShares(t, &d)
		checkMoves(t, &in, &d)
		checkLoads(t, &in, &d)
		checkReceivers(t, &in, &d)
		checkLimits(t, &in, &d)
	})
}

func checkShares(t *rapid.T, d *Decision) {
	for _, f := range d.Plan.Flows {
		sum := uint32(0)
		last := model.PlaceName("")
		for _, s := range f.Shares {
			if s.Place <= last || s.PPM == 0 {
				t.Fatalf("%s from %s: shares are zero or not sorted by place: %v", f.Service, f.Caller, f.Shares)
			}
			last = s.Place
			sum += s.PPM
		}
		if len(f.Shares) > 0 && sum != plan.Whole {
			t.Fatalf("%s from %s: shares add up to %d", f.Service, f.Caller, sum)
		}
	}
}

func checkMoves(t *rapid.T, in *Input, d *Decision) {
	if in.Previous == nil {
		return
	}
	limit := int64(in.Account.Moves.Share * plan.Whole)
	for _, f := range d.Plan.Flows {
		recent, moved := int64(0), int64(0)
		for _, m := range in.RecentMoves {
			if m.Service == f.Service && m.Caller == f.Caller && m.Delta > 0 && m.Age <= in.Account.Moves.Window {
				recent += int64(m.Delta)
			}
		}
		for _, m := range d.Moves {
			if m.Service == f.Service && m.Caller == f.Caller && m.Delta > 0 {
				moved += int64(m.Delta)
			}
		}
		if moved > max(0, limit-recent) {
			t.Fatalf("%s from %s moved %d ppm after %d ppm within the window, cap %d", f.Service, f.Caller, moved, recent, limit)
		}
	}
}

// solverFor returns a solver with the loads of a plan at the widened demand.
func solverFor(in *Input, p *plan.Plan) *solver {
	copied := *in
	copied.Previous = p
	return newSolver(&copied)
}

func checkLoads(t *rapid.T, in *Input, d *Decision) {
	if in.Previous == nil {
		return
	}
	before, after := solverFor(in, in.Previous), solverFor(in, d.Plan)
	const rounding = 1e-3
	for i := range after.cells {
		for p := range after.cells[i] {
			c := &after.cells[i][p]
			if c.load > max(before.cells[i][p].load, c.stableCapacity)+rounding {
				t.Fatalf("%s: load increased from %f to %f, capacity %f", after.places[p].name, before.cells[i][p].load, c.load, c.stableCapacity)
			}
		}
	}
	for i, r := range after.regions {
		if r.load > max(before.regions[i].load, r.capacity)+rounding {
			t.Fatalf("region %s: load increased from %f to %f, capacity %f", r.name, before.regions[i].load, r.load, r.capacity)
		}
		if r.linkLoad > max(before.regions[i].linkLoad, r.linkCapacity)+rounding {
			t.Fatalf("link into %s: load increased from %f to %f, capacity %f", r.name, before.regions[i].linkLoad, r.linkLoad, r.linkCapacity)
		}
	}
}

func checkReceivers(t *rapid.T, in *Input, d *Decision) {
	s := newSolver(in)
	raised := make(map[cellKey]float64)
	for _, m := range d.Moves {
		if m.Delta <= 0 {
			continue
		}
		for _, demand := range in.Demand {
			if demand.Service == m.Service && demand.Caller == m.Caller && demand.Age >= FreezeAge {
				t.Fatalf("moved a flow with a demand measured %v ago", demand.Age)
			}
			if demand.Service == m.Service && demand.Caller == m.Caller {
				raised[cellKey{m.Service, m.Place}] += demand.RPS * float64(m.Delta) / plan.Whole
			}
		}
		for _, state := range in.Places {
			if state.Service != m.Service || state.Place != m.Place {
				continue
			}
			if state.Usable == state.Unstable || state.FailureShare >= failingShare || state.Age >= FreezeAge || state.P99 > state.WarmP99*3/2 {
				t.Fatalf("increased %s in state %+v", m.Place, state)
			}
		}
	}
	for key, rps := range raised {
		c := &s.cells[s.serviceIndex(key.service)][s.placeIndex[key.place]]
		if rps > max(0, c.remainingStep())+1e-3 {
			t.Fatalf("%s increased by %f requests/s, remaining step %f", key.place, rps, c.remainingStep())
		}
	}
}

func checkLimits(t *rapid.T, in *Input, d *Decision) {
	sums := make(map[model.RegionName]float64)
	for _, l := range d.Limits {
		if l.DesiredRPS > l.UsableRPS+1e-6 || l.UsableRPS > in.Account.Service(l.Service).CapacityAt(l.Place) {
			t.Fatalf("limit above the capacity: %+v", l)
		}
		sums[in.Account.RegionOf(l.Place)] += l.DesiredRPS
	}
	for _, r := range in.Account.Regions {
		if sums[r.Name] > r.CapacityRPS+1e-6 {
			t.Fatalf("region %s: limits add up to %f, capacity %f", r.Name, sums[r.Name], r.CapacityRPS)
		}
	}
}
