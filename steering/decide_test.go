package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// totalMoved returns the sum of all share increases.
func totalMoved(decisions []Decision) int64 {
	sum := int64(0)
	for i := range decisions {
		for _, m := range decisions[i].Moves {
			sum += int64(max(m.Delta, 0))
		}
	}
	return sum
}

// Noise of about a tenth in latency and a twentieth in demand moves no traffic back
// and forth between equivalent places.
func TestNoiseMovesNothing(t *testing.T) {
	in := newInput(newAccount(3, 2, 2), 0.5)
	decisions := simulate(in, 300, func(in *Input, second int) {
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

// Missing or stale demand is not taken for low demand: no share is increased, and
// failed places stay closed.
func TestStaleMeasurementsFreezePlan(t *testing.T) {
	in := newInput(newAccount(2, 2, 1), 0.5)
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
			t.Fatalf("demand missing %v: frozen %v, moves %v, want frozen and no moves", missing, d.Frozen, d.Moves)
		}
		if !hasReason(&d, KindStale) || !hasReason(&d, KindFailure) {
			t.Fatalf("demand missing %v: no stale or failure reason in %v", missing, d.Reasons)
		}
		if d.Limits[0].Place != first || d.Limits[0].UsableRPS != 0 {
			t.Fatalf("demand missing %v: failed place still has a limit: %+v", missing, d.Limits[0])
		}
	}
}

// An unmeasured flow is planned with the assumed demand, not as free capacity.
func TestMissingDemandIsNotZero(t *testing.T) {
	in := newInput(newAccount(2, 2, 1), 0.9)
	in.Demand = in.Demand[1:]
	d := Decide(in)
	if used := d.Limits[0].DesiredRPS; used < 500 {
		t.Fatalf("%.0f requests/s planned in a place with unmeasured demand, want at least 500", used)
	}
}

// Optional moves leave half of the move cap for a failure that may follow.
func TestOptionalMovesReserveCapForFailures(t *testing.T) {
	a := newAccount(2, 2, 1)
	in := newInput(a, 0.5)
	in.Previous = planWithFirstRegionIn(a, a.Places[0].Name)
	for i := range in.Demand {
		in.Demand[i].RPS = 300
	}
	d := Decide(in)
	if moved := 1_000_000 - shareAt(d.Plan, 0, a.Places[0].Name); moved != 50_000 {
		t.Fatalf("optional moves of %d ppm, want 50000 (half of the cap)", moved)
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

// A single place that reports an implausibly low latency does not attract the
// traffic of other regions.
func TestLatencyOutlierAttractsNoTraffic(t *testing.T) {
	in := newInput(newAccount(3, 2, 1), 0.5)
	in.Account.Policy = model.Policy{LatencyWeight: 0.9, HeadroomWeight: 0.1, Headroom: 0.2}
	for i := range in.Places {
		in.Places[i].P50 = 80 * time.Millisecond
	}
	in.Previous = Decide(in).Plan
	stateOf(&in, in.Account.Places[5].Name).P50 = time.Microsecond
	if d := Decide(in); shareAt(d.Plan, 0, in.Account.Places[5].Name) > 0 {
		t.Fatalf("callers of the first region are sent to %s, which reported the outlier", in.Account.Places[5].Name)
	}
}

// Traffic leaves a place above its target utilisation with all of the move cap, but
// no more than brings the place down to the target.
func TestOverloadUsesFullMoveCap(t *testing.T) {
	a := newAccount(2, 1, 1)
	in := newInput(a, 0.5)
	in.Previous = Decide(in).Plan
	in.Demand[0].RPS = 1000
	if d := Decide(in); shareAt(d.Plan, 0, a.Places[0].Name) != 900_000 {
		t.Fatalf("%d ppm left in the overloaded place, want 900000", shareAt(d.Plan, 0, a.Places[0].Name))
	}
	in.Demand[0].RPS = 830
	if d := Decide(in); shareAt(d.Plan, 0, a.Places[0].Name) < 940_000 {
		t.Fatalf("%d ppm left in a place just above its target, want at least 940000", shareAt(d.Plan, 0, a.Places[0].Name))
	}
}
