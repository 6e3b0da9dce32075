package modelcheck

import (
	"flag"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/control/internal/fault"
)

// runSeed runs random actions until an invariant is violated or the run ends.
func runSeed(faults fault.Set, seed uint64, actions []action) *world {
	w := newWorld(faults, seed)
	c := newSeedChooser(seed)
	w.run(20 * time.Second)
	for range actionsPerRun {
		actions[c.choose(len(actions), "action")].run(w, c)
		if w.violation != "" {
			break
		}
	}
	return w
}

const actionsPerRun = 120

// search is how many seeds TestInjectedFaultsAreDetected tries per fault in place of the
// listed one. It finds new seeds after a change of the protocol or of this package:
//
//	go test ./control/modelcheck -run TestInjectedFaultsAreDetected -v -planted.search=500
var search = flag.Uint64("planted.search", 0, "seeds to try for each injected fault")

// Each injected fault must violate an invariant, and the same run without it must not.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for _, p := range injectedFaults {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			seed := p.findSeed()
			w := runSeed(p.faults, seed, p.actions())
			if w.violation == "" {
				t.Fatalf("not detected with seed %d", seed)
			}
			t.Logf("seed %d: %s", seed, w.violation)
			if w = runSeed(fault.Set{}, seed, p.actions()); w.violation != "" {
				t.Fatalf("violated without the fault: %s", w.violation)
			}
		})
	}
}

func (p injectedFault) findSeed() uint64 {
	for seed := uint64(1); seed <= *search; seed++ {
		if runSeed(p.faults, seed, p.actions()).violation != "" {
			return seed
		}
	}
	return p.seed
}

type injectedFault struct {
	name   string
	faults fault.Set
	// configured adds changes of capacity.
	configured bool
	// lowering makes late writes that lower grants frequent.
	lowering bool
	// seed selects a run in which the fault is detected.
	seed uint64
}

func (p injectedFault) actions() []action {
	switch {
	case p.configured:
		return append([]action{{"capacity", changeCapacity}}, actions...)
	case p.lowering:
		return append([]action{{"late lower", lateReduction}, {"late lower again", lateReduction}, {"late lower once more", lateReduction}}, actions...)
	default:
		return actions
	}
}

var injectedFaults = []injectedFault{
	{name: "no token check", faults: fault.Set{NoTokenCheck: true}, seed: 121},
	{name: "expiry from receipt", faults: fault.Set{ExpiryFromReceipt: true}, seed: 39},
	{name: "no clock margin", faults: fault.Set{NoClockMargin: true}, seed: 17},
	{name: "surplus ends early", faults: fault.Set{SurplusEndsEarly: true}, seed: 2},
	{name: "forget moves", faults: fault.Set{DropMovesOnTakeover: true}, seed: 1},
	{name: "moves count from decision", faults: fault.Set{AgeMovesFromDecision: true}, seed: 1},
	{name: "forget surplus", faults: fault.Set{DropSurplusOnTakeover: true}, seed: 2},
	{name: "send before write", faults: fault.Set{SendBeforeWrite: true}, seed: 1},
	{name: "unknown is failed", faults: fault.Set{TreatUnknownAsFailed: true}, seed: 2},
	{name: "no rewrite", faults: fault.Set{SkipRewrite: true}, lowering: true, seed: 623},
	{name: "free silent floors", faults: fault.Set{FreeUnreachableFloors: true}, seed: 1},
	{name: "free before acknowledged", faults: fault.Set{FreeBeforeAcknowledged: true}, seed: 1},
	{name: "lend without lowering", faults: fault.Set{LendWithoutLowering: true}, seed: 1},
	{name: "loan from receipt", faults: fault.Set{LoanExpiryFromReceipt: true}, seed: 24},
	{name: "acknowledge lent", faults: fault.Set{AcknowledgeLentFloors: true}, seed: 272},
	{name: "keep floors after pause", faults: fault.Set{KeepFloorsAfterPause: true}, seed: 2},
	{name: "old configuration", faults: fault.Set{AcceptOldConfiguration: true}, seed: 1, configured: true},
	{name: "any list proves", faults: fault.Set{TrustOldVMList: true}, seed: 2096},
	{name: "lend across regions", faults: fault.Set{LendAcrossRegions: true}, seed: 1},
	{name: "take late answers", faults: fault.Set{AcceptLateResponses: true}, seed: 236},
}
