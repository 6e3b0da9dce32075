package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// totalMoved sums all share increases of a run.
func totalMoved(decisions []Decision) int64 {
	sum := int64(0)
	for i := range decisions {
		for _, m := range decisions[i].Moves {
			sum += int64(max(m.Delta, 0))
		}
	}
	return sum
}

// Buyers see slow answers for no visible reason: traffic goes back and forth
// between two like places, because each measurement favours the other one.
// Latencies that change by a tenth and demand by a twentieth move nothing.
func TestNoiseMovesNothing(t *testing.T) {
	in := inputOf(accountOf(3, 2, 2), 0.5)
	decisions := follow(in, 300, func(in *Input, second int) {
		for i := range in.Places {
			noise := time.Duration((second*7+i*13)%17-8) * 100 * time.Microsecond
			in.Places[i].P50 = 8*time.Millisecond + noise
		}
		for i := range in.Demand {
			in.Demand[i].RPS = 1000 * (1 + 0.05*float64((second*5+i*11)%13-6)/6)
		}
	})
	if moved := totalMoved(decisions[10:]); moved != 0 {
		t.Fatalf("noise moved %d ppm", moved)
	}
}

// Reports stop while a region is busy. A node that takes silence for no load
// would send everything there. Nothing may be increased anywhere, the places
// last seen failing stay closed, and the decision says that it is frozen.
func TestOldMeasurementsFreeze(t *testing.T) {
	in := inputOf(accountOf(2, 2, 1), 0.5)
	in.Previous = Decide(in).Plan
	first := in.Account.Places[0].Name
	stateOf(&in, first).Usable = 0
	for i := range in.Demand {
		in.Demand[i].Age = FreezeAge
	}
	for _, missing := range []bool{false, true} {
		if missing {
			in.Demand = nil
		}
		d := Decide(in)
		if !d.Frozen || len(d.Moves) > 0 {
			t.Fatalf("missing %v: frozen %v, moves %v", missing, d.Frozen, d.Moves)
		}
		if !hasReason(&d, KindStale) || !hasReason(&d, KindFailure) {
			t.Fatalf("missing %v: reasons %v", missing, d.Reasons)
		}
		if d.Limits[0].Place != first || d.Limits[0].UsableRPS != 0 {
			t.Fatalf("missing %v: the failed place may still be used: %+v", missing, d.Limits[0])
		}
	}
}

// A demand that nobody measured since a change of decider must not look like
// free capacity: the plan for it takes the assumed demand into account.
func TestMissingDemandIsNotZero(t *testing.T) {
	in := inputOf(accountOf(2, 2, 1), 0.9)
	in.Demand = in.Demand[1:]
	d := Decide(in)
	if used := d.Limits[0].DesiredRPS; used < 500 {
		t.Fatalf("%.0f requests/s planned for a region with unknown callers", used)
	}
}

// Moves for gain leave half of the cap to a failure that may come next.
func TestGainLeavesCapForFailures(t *testing.T) {
	a := accountOf(2, 2, 1)
	in := inputOf(a, 0.5)
	in.Previous = onlyIn(a, a.Places[0].Name)
	for i := range in.Demand {
		in.Demand[i].RPS = 300
	}
	d := Decide(in)
	if moved := 1_000_000 - shareAt(d.Plan, 0, a.Places[0].Name); moved != 50_000 {
		t.Fatalf("moved %d ppm for gain, want half of the cap", moved)
	}
	stateOf(&in, a.Places[0].Name).Usable = 0
	in.RecentMoves = d.Moves
	in.Previous = d.Plan
	d = Decide(in)
	if left := shareAt(d.Plan, 0, a.Places[0].Name); left != 900_000 {
		t.Fatalf("%d ppm left in the failed place, want 900000", left)
	}
	if !hasReason(&d, KindMoveCap) {
		t.Fatal("no reason names the move cap")
	}
}

// One place reports a latency that cannot be true. It must not draw all of
// the traffic of the other regions.
func TestOneWrongLatencyDrawsNothing(t *testing.T) {
	in := inputOf(accountOf(3, 2, 1), 0.5)
	in.Account.Policy = model.Policy{LatencyWeight: 0.9, HeadroomWeight: 0.1, Headroom: 0.2}
	for i := range in.Places {
		in.Places[i].P50 = 80 * time.Millisecond
	}
	in.Previous = Decide(in).Plan
	stateOf(&in, in.Account.Places[5].Name).P50 = time.Microsecond
	if d := Decide(in); shareAt(d.Plan, 0, in.Account.Places[5].Name) > 0 {
		t.Fatalf("callers of the first region are sent to %s", in.Account.Places[5].Name)
	}
}

// At dawn all callers of a region come at once. Half of the cap would let the
// place fill up before enough has left: above its target, work may use all of
// the cap, and no more leaves than brings it down to the target.
func TestRushUsesAllOfTheCap(t *testing.T) {
	a := accountOf(2, 1, 1)
	in := inputOf(a, 0.5)
	in.Previous = Decide(in).Plan
	in.Demand[0].RPS = 1000
	if d := Decide(in); shareAt(d.Plan, 0, a.Places[0].Name) != 900_000 {
		t.Fatalf("%d ppm left in the full place, want 900000", shareAt(d.Plan, 0, a.Places[0].Name))
	}
	in.Demand[0].RPS = 830
	if d := Decide(in); shareAt(d.Plan, 0, a.Places[0].Name) < 940_000 {
		t.Fatalf("%d ppm left in a place just above its target", shareAt(d.Plan, 0, a.Places[0].Name))
	}
}
