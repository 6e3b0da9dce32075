package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// decideAfterMoveAway decides for an account whose callers are in the first of two
// places, with one recent move out of the second.
func decideAfterMoveAway(cause Kind, age time.Duration) (Input, *Decision) {
	a := newAccount(1, 2, 1)
	a.Moves.Share = 1
	in := newInput(a, 0.6)
	in.Previous = &plan.Plan{Flows: []plan.Flow{{Service: "s0", Caller: "r00", Shares: []plan.Share{{Place: a.Places[0].Name, PPM: plan.Whole}}}}}
	in.RecentMoves = []Move{{Service: "s0", Caller: "r00", Place: a.Places[1].Name, Delta: -100_000, Cause: cause, Age: age}}
	d := Decide(in)
	return in, &d
}

// A place that returns after a failure is probed with 1/32 of a step before larger
// steps, because it may fail again.
func TestTrafficReturnsGraduallyAfterFailure(t *testing.T) {
	in, d := decideAfterMoveAway(KindFailure, holdDown+time.Second)
	place := in.Account.Places[1].Name
	first := shareAt(d.Plan, 0, place)
	if first < 2_500 || first > 2_700 {
		t.Fatalf("first increase is %d ppm of 1200 requests/s, want 3.1 requests/s", first)
	}
	in.Previous = d.Plan
	for i := range d.Moves {
		d.Moves[i].Age = stepInterval
	}
	in.RecentMoves = append(in.RecentMoves, d.Moves...)
	next := Decide(in)
	if got := shareAt(next.Plan, 0, place) - first; got < 41_000 || got > 42_000 {
		t.Fatalf("second increase is %d ppm of 1200 requests/s, want 50 requests/s", got)
	}
}

// A place that has just shed load gets no increase. Its good measurements may only
// reflect the lower load.
func TestNoIncreaseDuringBackoff(t *testing.T) {
	in, d := decideAfterMoveAway(KindSlow, 5*time.Second)
	if got := shareAt(d.Plan, 0, in.Account.Places[1].Name); got != 0 {
		t.Fatalf("%d ppm five seconds after a backoff, want 0", got)
	}
}
