package decider

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/allocate"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/store"
)

// Without the plan that a node has reached, the planner cannot tell that it
// lags, and lets more than the cap move when its callers go elsewhere.
func TestReportNamesThePlanReached(t *testing.T) {
	report := reportOf(&peerpb.RenewRequest{PlanEpoch: 3, PlanSequence: 4}, ledger.Node{})
	if report.PlanEpoch != 3 || report.PlanSequence != 4 {
		t.Fatalf("report %+v", report)
	}
}

// lastSituation keeps what it is asked.
type lastSituation struct{ Situation }

func (l *lastSituation) Plan(s Situation) Planned {
	l.Situation = s
	return Nearest{}.Plan(s)
}

// The decider changes while a VM is cut off. The planner must hear of the VM, as
// its callers may come to others at any moment.
func TestNewDeciderNamesTheUnheard(t *testing.T) {
	old := newTerm(t, 2)
	old.core.Ledger().Rewrite(old.now)
	entry := store.Entry{Value: old.core.Ledger().Propose(old.now), Revision: 1}
	var planner lastSituation
	options := Options{Ledger: ledger.DefaultParams(), Allocate: allocate.DefaultParams(), Planner: &planner, ReportsPerSecond: 1}
	core, err := Begin(options, old.account, 2, entry, old.now)
	if err != nil {
		t.Fatal(err)
	}
	core.Renew(old.requests[0], old.now)
	next := term{core: core, account: old.account, now: old.now}
	next.step()
	next.step()
	silent := nodeOf(old.requests[1].Node).ID
	if len(planner.Reports) != 1 || len(planner.Unheard) != 1 || planner.Unheard[0] != silent {
		t.Fatalf("%d reports, unheard %v, want 1 and %v", len(planner.Reports), planner.Unheard, silent)
	}
}
