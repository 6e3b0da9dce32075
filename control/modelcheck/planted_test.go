package modelcheck

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/control/internal/fault"
)

// runSeed plays one run of random actions and returns what was violated.
func runSeed(faults fault.Set, seed uint64, actions []action) *world {
	w := newWorld(faults, seed)
	c := newSeedChooser(seed)
	w.run(20 * time.Second)
	for range runActions {
		actions[c.choose(len(actions), "action")].run(w, c)
		if w.violation != "" {
			break
		}
	}
	return w
}

const runActions = 120

func TestExplore(t *testing.T) {
	for _, p := range plantedErrors {
		found := uint64(0)
		var w *world
		for seed := uint64(1); seed <= 300 && found == 0; seed++ {
			if w = runSeed(p.faults, seed, p.actions()); w.violation != "" {
				found = seed
			}
		}
		t.Logf("%-28s seed %4d %s", p.name, found, w.violation)
	}
	for seed := uint64(1); seed <= 5; seed++ {
		w := runSeed(fault.Set{}, seed, actions)
		t.Logf("sound: writes %d epoch %d peak %d moved %d violation %q now %s", w.raises, w.terms, w.peak, len(w.moved), w.violation, w.now)
	}
}

type planted struct {
	name   string
	faults fault.Set
	// configured adds changes of capacity.
	configured bool
}

func (p planted) actions() []action {
	if p.configured {
		return append([]action{{"capacity", lowerCapacity}}, actions...)
	}
	return actions
}

var plantedErrors = []planted{
	{name: "no token check", faults: fault.Set{NoTokenCheck: true}},
	{name: "expiry from receipt", faults: fault.Set{ExpiryFromReceipt: true}},
	{name: "no clock margin", faults: fault.Set{NoClockMargin: true}},
	{name: "surplus ends early", faults: fault.Set{SurplusEndsEarly: true}},
	{name: "forget moves", faults: fault.Set{ForgetMoves: true}},
	{name: "moves count from decision", faults: fault.Set{MovesCountFromDecision: true}},
	{name: "forget surplus", faults: fault.Set{ForgetSurplus: true}},
	{name: "send before write", faults: fault.Set{SendBeforeWrite: true}},
	{name: "unknown is failed", faults: fault.Set{UnknownIsFailed: true}},
	{name: "no rewrite", faults: fault.Set{NoRewrite: true}},
	{name: "free silent floors", faults: fault.Set{FreeSilentFloors: true}},
	{name: "free before acknowledged", faults: fault.Set{FreeBeforeAcknowledged: true}},
	{name: "lend without lowering", faults: fault.Set{LendWithoutLowering: true}},
	{name: "loan from receipt", faults: fault.Set{LoanFromReceipt: true}},
	{name: "acknowledge lent", faults: fault.Set{AcknowledgeLent: true}},
	{name: "keep floors after pause", faults: fault.Set{KeepFloorsAfterPause: true}},
	{name: "old configuration", faults: fault.Set{OldConfiguration: true}, configured: true},
}
