package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// A place whose targets go and come pulls work in and throws it out each time:
// callers are refused again and again. Each failure after a return doubles the
// time the place stays out.
func TestFlappingPlaceIsUsedLessAndLess(t *testing.T) {
	in := inputOf(accountOf(2, 2, 1), 0.3)
	in.Account.Moves = model.MoveLimits{Share: 1, Window: 10 * time.Second}
	first := in.Account.Places[0].Name
	decisions := follow(in, 3600, func(in *Input, second int) {
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
	t.Logf("%d returns", returns)
	if returns > 12 {
		t.Fatalf("work returned %d times to a place that failed 90 times", returns)
	}
}

// The targets of a place are just back. They serve what the cap has left there,
// but that goes on leaving, and nothing is added.
func TestUnsteadyTargetsServeButHoldNothing(t *testing.T) {
	in := inputOf(accountOf(2, 2, 1), 0.3)
	in.Previous = Decide(in).Plan
	s := stateOf(&in, in.Account.Places[0].Name)
	s.Unstable = s.Usable
	d := Decide(in)
	if d.MovedPPM == 0 || d.Limits[0].UsableRPS != 1000 || d.Limits[0].DesiredRPS < 200 {
		t.Fatalf("moved %d ppm, limit %+v", d.MovedPPM, d.Limits[0])
	}
}

// The health of a place reads well and its latency too, while most of what is
// sent there fails. The nodes' own traffic decides.
func TestLyingHealthIsNotBelieved(t *testing.T) {
	in := inputOf(accountOf(2, 2, 1), 0.3)
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

// A release that fails most requests goes out everywhere. Taken for a failure of
// the places, it would shut all of them and refuse the requests that still
// succeed, and move the rest in circles.
func TestFailureEverywhereShutsNothing(t *testing.T) {
	in := inputOf(accountOf(2, 2, 1), 0.3)
	in.Previous = Decide(in).Plan
	for i := range in.Places {
		in.Places[i].FailureShare = 0.6 + 0.1*float64(i%2)
	}
	d := Decide(in)
	if len(d.Moves) > 0 || d.Limits[0].UsableRPS != 1000 {
		t.Fatalf("moves %v, limit %+v", d.Moves, d.Limits[0])
	}
}

// A third of the requests to one place fails, in the others none. Callers lose
// orders for as long as work stays; it leaves, and what is still there is
// served, since most of it succeeds.
func TestPoorPlaceIsLeftButServes(t *testing.T) {
	in := inputOf(accountOf(2, 2, 1), 0.3)
	in.Previous = Decide(in).Plan
	stateOf(&in, in.Account.Places[0].Name).FailureShare = 0.3
	d := Decide(in)
	if d.MovedPPM == 0 || d.Limits[0].UsableRPS != 1000 {
		t.Fatalf("moved %d ppm, limit %+v", d.MovedPPM, d.Limits[0])
	}
}

// While work is held back in a dead place, nothing moves for gain: it would
// use up the cap the dead place needs.
func TestNoGainWhileWorkIsHeldBack(t *testing.T) {
	a := accountOf(2, 2, 1)
	in := inputOf(a, 0.5)
	in.Previous = onlyIn(a, a.Places[0].Name)
	in.Previous.Flows[1].Shares[0].Place = a.Places[2].Name
	stateOf(&in, a.Places[0].Name).Usable = 0
	for _, m := range Decide(in).Moves {
		if m.Cause != KindFailure {
			t.Fatalf("moved for gain: %+v", m)
		}
	}
}
