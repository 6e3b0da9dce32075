package steering

import "testing"

// A place that lost all of its targets is emptied. It must not pass for an unmeasured
// place, which keeps its configured capacity.
func TestPlaceWithoutTargetsIsEmptied(t *testing.T) {
	const lost = "r00-00"
	account := newAccount(2, 2, 1)
	in := newInput(account, 0.2)
	in.Previous = Decide(in).Plan
	before := shareAt(in.Previous, 0, lost)
	in.Sequence++
	decisions := simulate(in, 600, func(in *Input, _ int) {
		state := stateOf(in, lost)
		state.SentRPS, state.Usable, state.Known = 0, 0, 0
		state.NoTargets = true
	})
	after := shareAt(decisions[len(decisions)-1].Plan, 0, lost)
	if before == 0 || after != 0 {
		t.Fatalf("place without targets had %d ppm before and %d after, want more than 0 and 0", before, after)
	}
}
