package decider

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/allocate"
	"github.com/yuccaroute/yuccaroute/control/internal/names"
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
type lastSituation struct{ PlannerInput }

func (l *lastSituation) Plan(s PlannerInput) PlannerOutput {
	l.PlannerInput = s
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
	core, err := NewCore(options, old.account, 2, entry, old.now)
	if err != nil {
		t.Fatal(err)
	}
	core.Renew(old.requests[0], old.now)
	next := term{core: core, account: old.account, now: old.now}
	next.step()
	next.step()
	silent := nodeOf(old.requests[1].Node).ID
	if len(planner.Reports) != 1 || len(planner.UnreportedNodes) != 1 || planner.UnreportedNodes[0] != silent {
		t.Fatalf("%d reports, unheard %v, want 1 and %v", len(planner.Reports), planner.UnreportedNodes, silent)
	}
}

// A node with steady callers rests, and is lost. Until its next report is due the
// plan must count what it told as measured now, as for one that reports each
// second; from then on its silence must widen the margins like that of any other.
func TestSilenceOfANodeAtRestIsNoticed(t *testing.T) {
	old := newTerm(t, 1)
	request := old.requests[0]
	request.RestMs = 10_000
	if !old.renew(request).Unchanged {
		t.Fatal("the grants change all the time")
	}
	for _, c := range []struct{ after, want time.Duration }{
		{500 * time.Millisecond, 500 * time.Millisecond},
		{8 * time.Second, time.Second},
		{12 * time.Second, 12 * time.Second},
	} {
		reports, _ := old.core.observed(old.now.Add(c.after))
		if len(reports) != 1 || reports[0].Age != c.want {
			t.Errorf("after %v: %+v", c.after, reports)
		}
	}
	request.RestMs = 0
	old.renew(request)
	if reports, _ := old.core.observed(old.now.Add(8 * time.Second)); reports[0].Age != 8*time.Second {
		t.Errorf("a node that promised nothing: age %v", reports[0].Age)
	}
}

// A node names itself by a hash to a decider that was changed, or that has heard of
// another node with that hash. Taken for the other's, its acknowledgement would free
// what the other still has in force.
func TestNodesWithoutWords(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Core, *peerpb.RenewRequest)
		want   result.Code
		named  bool
	}{
		{"known", func(*Core, *peerpb.RenewRequest) {}, result.OK, false},
		{"asks for names", func(_ *Core, r *peerpb.RenewRequest) { r.GrantNames = true }, result.OK, true},
		{"acknowledges no names", func(_ *Core, r *peerpb.RenewRequest) { r.AppliedSequence = 0 }, result.OK, true},
		{"unknown", func(_ *Core, r *peerpb.RenewRequest) { r.NodeKey++ }, result.UnknownNode, false},
		{"other term", func(_ *Core, r *peerpb.RenewRequest) { r.AppliedEpoch = 0 }, result.UnknownNode, false},
		{"two nodes", func(core *Core, r *peerpb.RenewRequest) {
			core.remember(r.Node, ledger.Node{ID: nodeID("other", 1)}, &reported{})
		}, result.UnknownNode, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			term := newTerm(t, 2)
			request := term.requests[1]
			id := nodeOf(request.Node).ID
			request.NodeKey = names.Node(request.Node)
			c.change(term.core, request)
			request.Node = nil
			// Other amounts, so that they are sent.
			term.core.Ledger().Want(id, make([]ledger.Amounts, len(term.core.Ledger().Keys())))
			response := term.core.Renew(request, term.now)
			if response.Code != uint32(c.want) {
				t.Fatalf("code %d, want %d", response.Code, c.want)
			}
			named, hashed := len(response.Grants) > 0, response.GrantKeys != 0
			if c.want == result.OK && (named != c.named || hashed == c.named) {
				t.Errorf("named grants %d, hash %d", len(response.Grants), response.GrantKeys)
			}
		})
	}
}

// Two reports of a node overtake each other while its places change. The decider
// must not take the load of one place for that of another.
func TestPlacesWithoutNames(t *testing.T) {
	var old reported
	take := func(request *peerpb.RenewRequest) []observe.PlaceLoad {
		r := reportOf(request, ledger.Node{})
		old.namePlaces(&r, request)
		old.report = r
		return r.Places
	}
	load := func(place string, sent float32) *peerpb.PlaceLoad {
		return &peerpb.PlaceLoad{Service: "desk", Place: place, SentRps: sent}
	}
	first := take(&peerpb.RenewRequest{Places: []*peerpb.PlaceLoad{load("a", 1), load("b", 2)}})
	hash := names.Places(first)
	next := []*peerpb.PlaceLoad{{SentRps: 3}, {SentRps: 4}}
	got := take(&peerpb.RenewRequest{PlaceNames: hash, Places: next})
	if len(got) != 2 || got[0].Place != "a" || got[0].SentRPS != 3 || got[1].Place != "b" || got[1].Service != "desk" {
		t.Errorf("places %+v", got)
	}
	take(&peerpb.RenewRequest{Places: []*peerpb.PlaceLoad{load("b", 5), load("a", 6)}})
	got = take(&peerpb.RenewRequest{PlaceNames: hash, Places: next})
	if got[0].Place != "b" || got[0].SentRPS != 5 || got[1].SentRPS != 6 {
		t.Errorf("loads under other names: %+v", got)
	}
}
