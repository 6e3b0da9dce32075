package steering

import "testing"

// Story: a failure domain is lost. The VM list shows it, so no node knows a
// target there any more. For minutes callers are refused at the rate of the
// first second: with no target left the place read as one nobody measured, kept
// its configured capacity and its share, and no plan moved the rest away.
func TestEmptyPlaceIsLeft(t *testing.T) {
	const lost = "r00-00"
	account := accountOf(2, 2, 1)
	in := inputOf(account, 0.2)
	in.Previous = Decide(in).Plan
	before := shareAt(in.Previous, 0, lost)
	in.Sequence++
	decisions := follow(in, 600, func(in *Input, _ int) {
		state := stateOf(in, lost)
		state.SentRPS, state.Usable, state.Known = 0, 0, 0
		state.NoTargets = true
	})
	after := shareAt(decisions[len(decisions)-1].Plan, 0, lost)
	if before == 0 || after != 0 {
		t.Fatalf("the lost place had %d ppm and still has %d", before, after)
	}
}
