package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Each failure after a return doubles the hold-down, so traffic rarely returns to a
// flapping place.
func TestFlappingPlaceHoldDownDoubles(t *testing.T) {
	in := newInput(newAccount(2, 2, 1), 0.3)
	in.Account.Moves = model.MoveLimits{Share: 1, Window: 10 * time.Second}
	first := in.Account.Places[0].Name
	decisions := simulate(in, 3600, func(in *Input, second int) {
		s := stateOf(in, first)
		s.Usable = 10
		if second > 10 && second/20%2 == 0 {
			s.Usable = 0
		}
	})
	returns := 0
	for i := 1; i < len(decisions); i++ {
		for _, m := range decisions[i].Moves {
			if m.Place == first && m.Delta > 0 && shareAt(decisions[i-1].Plan, 0, first) == 0 {
				returns++
				break
			}
		}
	}
	t.Logf("traffic returned %d times", returns)
	if returns > 12 {
		t.Fatalf("traffic returned %d times to a place that failed 90 times, want at most 12", returns)
	}
}

// Recently recovered targets serve the traffic still in the place, but it keeps
// leaving and none is added.
func TestUnstableTargetsServeButAttractNoTraffic(t *testing.T) {
	in := newInput(newAccount(2, 2, 1), 0.3)
	in.Previous = Decide(in).Plan
	s := stateOf(&in, in.Account.Places[0].Name)
	s.Unstable = s.Usable
	d := Decide(in)
	if d.MovedPPM == 0 || d.Limits[0].UsableRPS != 1000 || d.Limits[0].DesiredRPS < 200 {
		t.Fatalf("moved %d ppm, limit %+v", d.MovedPPM, d.Limits[0])
	}
}

// Failures of forwarded requests take precedence over healthy targets and a low
// latency.
func TestFailureShareOverridesHealth(t *testing.T) {
	in := newInput(newAccount(2, 2, 1), 0.3)
	in.Previous = Decide(in).Plan
	s := stateOf(&in, in.Account.Places[0].Name)
	s.FailureShare = 0.8
	s.P50 = time.Millisecond
	for _, idle := range []bool{false, true} {
		for i := 1; i < len(in.Places) && idle; i++ {
			// Nothing was sent elsewhere yet, so that nothing failed there.
			in.Places[i].SentRPS, in.Places[i].FailureShare = 0, 1
		}
		d := Decide(in)
		if d.MovedPPM == 0 || d.Limits[0].UsableRPS != 0 {
			t.Fatalf("idle %v: moved %d ppm, limit %+v", idle, d.MovedPPM, d.Limits[0])
		}
	}
}

// A failure that affects all places alike closes none of them and moves no traffic.
func TestUniformFailureClosesNoPlace(t *testing.T) {
	in := newInput(newAccount(2, 2, 1), 0.3)
	in.Previous = Decide(in).Plan
	for i := range in.Places {
		in.Places[i].FailureShare = 0.6 + 0.1*float64(i%2)
	}
	d := Decide(in)
	if len(d.Moves) > 0 || d.Limits[0].UsableRPS != 1000 {
		t.Fatalf("moves %v, limit %+v", d.Moves, d.Limits[0])
	}
}

// Traffic leaves a place where a third of the requests fails, but the place keeps
// its capacity for the traffic still there.
func TestDegradedPlaceIsEmptiedButServes(t *testing.T) {
	in := newInput(newAccount(2, 2, 1), 0.3)
	in.Previous = Decide(in).Plan
	stateOf(&in, in.Account.Places[0].Name).FailureShare = 0.3
	d := Decide(in)
	if d.MovedPPM == 0 || d.Limits[0].UsableRPS != 1000 {
		t.Fatalf("moved %d ppm, limit %+v", d.MovedPPM, d.Limits[0])
	}
}

// Optional moves must not use the cap while traffic is still held back in a failed
// place.
func TestNoOptionalMovesWhileForcedMovesPending(t *testing.T) {
	a := newAccount(2, 2, 1)
	in := newInput(a, 0.5)
	in.Previous = planWithFirstRegionIn(a, a.Places[0].Name)
	in.Previous.Flows[1].Shares[0].Place = a.Places[2].Name
	stateOf(&in, a.Places[0].Name).Usable = 0
	for _, m := range Decide(in).Moves {
		if m.Cause != KindFailure {
			t.Fatalf("optional move: %+v", m)
		}
	}
}
