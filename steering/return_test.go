package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// returning is an account whose callers are in the first of two places, with
// one move away from the second.
func returning(cause Kind, age time.Duration) (Input, *Decision) {
	a := accountOf(1, 2, 1)
	a.Moves.Share = 1
	in := inputOf(a, 0.6)
	in.Previous = &plan.Plan{Flows: []plan.Flow{{Service: "s0", Caller: "r00", Shares: []plan.Share{{Place: a.Places[0].Name, PPM: plan.Whole}}}}}
	in.RecentMoves = []Move{{Service: "s0", Caller: "r00", Place: a.Places[1].Name, Delta: -100_000, Cause: cause, Age: age}}
	d := Decide(in)
	return in, &d
}

// A place that comes back after a failure may fail again under the same load;
// what it takes first is lost then. Of a step of 100 requests/s it takes a
// thirty-second first, and half once that has shown.
func TestReturnAfterFailureTakesLittleFirst(t *testing.T) {
	in, d := returning(KindFailure, holdDown+time.Second)
	place := in.Account.Places[1].Name
	first := shareAt(d.Plan, 0, place)
	if first < 2_500 || first > 2_700 {
		t.Fatalf("%d ppm of 1200 requests/s at first, want 3.1 requests/s", first)
	}
	in.Previous = d.Plan
	for i := range d.Moves {
		d.Moves[i].Age = stepInterval
	}
	in.RecentMoves = append(in.RecentMoves, d.Moves...)
	next := Decide(in)
	if got := shareAt(next.Plan, 0, place) - first; got < 41_000 || got > 42_000 {
		t.Fatalf("%d ppm of 1200 requests/s then, want 50 requests/s", got)
	}
}

// A place gave back because it was slow, and the next measurement is good only
// because it was taken with less work. It must rest, not be raised at once.
func TestPlaceRestsAfterGivingBack(t *testing.T) {
	in, d := returning(KindSlow, 5*time.Second)
	if got := shareAt(d.Plan, 0, in.Account.Places[1].Name); got != 0 {
		t.Fatalf("%d ppm five seconds after the place gave back", got)
	}
}
