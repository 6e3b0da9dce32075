package ledger

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// twoRegions is an account with one service in two places behind links.
func twoRegions(rps float64) *model.Account {
	return &model.Account{
		Name:     "test",
		Revision: 1,
		Regions: []model.Region{
			{Name: "east", CapacityRPS: rps, LinkInRPS: rps / 2},
			{Name: "west", CapacityRPS: rps, LinkInRPS: rps / 2},
		},
		Places: []model.Place{{Name: "e1", Region: "east"}, {Name: "w1", Region: "west"}},
		Services: []model.Service{{
			Name:     "desk",
			Capacity: []model.PlaceCapacity{{Place: "e1", RPS: rps}, {Place: "w1", RPS: rps}},
		}},
		Moves: model.MoveLimits{Share: 0.1, Window: time.Minute},
	}
}

func node(vm string) Node {
	return Node{ID: grant.NodeID{VM: vm, Incarnation: 1}, Region: "east", Address: vm + ":1", ListSequence: 1}
}

// newTestLedger returns a ledger whose first write has been made.
func newTestLedger(t *testing.T, nodes ...Node) *Ledger {
	t.Helper()
	l := New(DefaultParams(), 1, NewLimits(twoRegions(100)))
	l.Rewrite(start)
	l.ConfirmWrite()
	for _, n := range nodes {
		l.RecordContact(n, start)
	}
	return l
}

func setWanted(l *Ledger, n Node, floor, surplus float64) {
	w := make([]Amounts, len(l.Keys()))
	w[0] = Amounts{Floor: AmountFromRPS(floor), Surplus: AmountFromRPS(surplus)}
	l.SetWanted(n.ID, w)
}

func commit(l *Ledger, now time.Time) bool {
	if l.Propose(now) == nil {
		return false
	}
	l.ConfirmWrite()
	return true
}

func issue(t *testing.T, l *Ledger, n Node, now time.Time) (Amounts, uint64) {
	t.Helper()
	set, ok := l.Issue(n.ID, now)
	if !ok {
		t.Fatal("no set issued")
	}
	return set.Amounts[0], set.Sequence
}

// commitAndIssue commits amounts for a node and sends them.
func commitAndIssue(t *testing.T, l *Ledger, n Node, floor, surplus float64) {
	t.Helper()
	setWanted(l, n, floor, surplus)
	commit(l, start)
	issue(t, l, n, start)
}

func wantFloor(t *testing.T, l *Ledger, n Node, now time.Time, rps float64, when string) {
	t.Helper()
	if got, _ := issue(t, l, n, now); got.Floor != AmountFromRPS(rps) {
		t.Fatalf("floor %v %s, want that of %v requests/s", got.Floor, when, rps)
	}
}

func wantSurplus(t *testing.T, l *Ledger, n Node, now time.Time, rps float64, when string) {
	t.Helper()
	if got, _ := issue(t, l, n, now); got.Surplus != AmountFromRPS(rps) {
		t.Fatalf("surplus %v %s, want that of %v requests/s", got.Surplus, when, rps)
	}
}

// A raise whose write has no answer must not reach the node: if the write
// never happened, the next decider would not count it.
func TestRaiseWaitsForItsWrite(t *testing.T) {
	a := node("a")
	l := newTestLedger(t, a)
	setWanted(l, a, 40, 0)
	if l.Propose(start) == nil {
		t.Fatal("a raise needs a write")
	}
	wantFloor(t, l, a, start, 0, "before the write")
	l.ConfirmWrite()
	wantFloor(t, l, a, start, 40, "after the write")
}

// While a write that lowers a node is not settled, the old amount must not be
// sent again either: the write may take effect, and the next decider then
// counts only the lower one.
func TestUnsettledLowerIsNotRaisedAgain(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 40, 0)
	setWanted(l, a, 10, 0)
	_, sequence := issue(t, l, a, start)
	l.Acknowledge(a.ID, 1, sequence)
	setWanted(l, b, 90, 0)
	if l.Propose(start) == nil {
		t.Fatal("a raise needs a write")
	}
	setWanted(l, a, 40, 0)
	wantFloor(t, l, a, start, 10, "while a lower amount was being written")
}

// A lowered floor is free only when the node acknowledged the lower one: the
// message may be lost and the node go on with the old floor for days.
func TestLoweredFloorIsCountedUntilAcknowledged(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 100, 0)
	setWanted(l, a, 20, 0)
	_, sequence := issue(t, l, a, start)
	setWanted(l, b, 80, 0)
	later := start.Add(time.Hour)
	l.RecordContact(a, later)
	l.RecordContact(b, later)
	commit(l, later)
	wantFloor(t, l, b, later, 0, "before the acknowledgement")
	l.Acknowledge(a.ID, 1, sequence)
	commit(l, later)
	wantFloor(t, l, b, later, 80, "after the acknowledgement")
}

// A surplus is free once it has run out with the margin, without any word of
// its holder, but not earlier.
func TestSurplusIsFreeAfterItsTimeAndMargin(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 0, 100)
	setWanted(l, a, 0, 0)
	setWanted(l, b, 0, 100)
	ends := start.Add(l.params.WithMargin(l.params.SurplusTTL))
	commit(l, ends.Add(-time.Nanosecond))
	wantSurplus(t, l, b, ends.Add(-time.Nanosecond), 0, "before its time ended")
	commit(l, ends)
	wantSurplus(t, l, b, ends, 100, "after the surplus ended")
}

// A failure domain is gone and its nodes with it: the VM list still shows
// them, then does not. Their floors must stay counted for the removal time
// after the list dropped them, and be free then.
func TestFloorsOfEndedNodes(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 100, 0)
	dropped := start.Add(time.Hour)
	listed := []ListedVM{{VM: "b", Address: "b:1"}}
	l.ObserveVMs(listed, 2, dropped)
	setWanted(l, b, 100, 0)
	free := dropped.Add(l.params.WithMargin(l.params.RemovalTime))
	l.RecordContact(b, free)
	l.ObserveVMs(listed, 2, free.Add(-time.Nanosecond))
	commit(l, free.Add(-time.Nanosecond))
	wantFloor(t, l, b, free, 0, "before its time ended")
	l.ObserveVMs(listed, 2, free)
	commit(l, free)
	wantFloor(t, l, b, free, 100, "after the removal time")
}

// The list service goes out just after it dropped a VM that is cut off. The
// decider offers the last reading again and again for an hour. The VM may have
// returned unseen, so its floor stays counted until a reading of after the
// outage still lacks it.
func TestListOutageIsNoAbsence(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 100, 0)
	listed := []ListedVM{{VM: "b", Address: "b:1"}}
	setWanted(l, b, 100, 0)
	back := start.Add(time.Hour)
	for now := start; now.Before(back); now = now.Add(time.Minute) {
		l.RecordContact(b, now)
		l.ObserveVMs(listed, 2, start)
		commit(l, now)
		wantFloor(t, l, b, now, 0, "while the list was out")
	}
	l.RecordContact(b, back)
	l.ObserveVMs(listed, 2, back)
	commit(l, back)
	wantFloor(t, l, b, back, 100, "once a reading told the absence")
}

// A process restarts on its VM, which the list goes on to show. The floor of
// its first life must come back in the end, and only after the removal time.
func TestFloorOfAnEarlierLifeOfTheVM(t *testing.T) {
	a := node("a")
	second := a
	second.ID.Incarnation = 2
	l := newTestLedger(t, a)
	commitAndIssue(t, l, a, 100, 0)
	restarted := start.Add(time.Second)
	free := restarted.Add(l.params.WithMargin(l.params.RemovalTime))
	for now := restarted; now.Before(free); now = now.Add(time.Second) {
		l.RecordContact(second, now)
		l.ObserveVMs([]ListedVM{{VM: "a", Address: "a:1"}}, 1, now)
		setWanted(l, second, 100, 0)
		commit(l, now)
		if got, _ := issue(t, l, second, now); got.Floor != 0 {
			t.Fatalf("gave %v after %s", got, now.Sub(restarted))
		}
	}
	commit(l, free)
	wantFloor(t, l, second, free, 100, "after the removal time")
}

// A decider whose VM list lags behind its predecessor's does not know a new
// node yet, which is no sign that it ended.
func TestOlderListProvesNothing(t *testing.T) {
	a := node("a")
	a.ListSequence = 7
	l := newTestLedger(t, a)
	commitAndIssue(t, l, a, 100, 0)
	later := start.Add(time.Hour)
	l.ObserveVMs(nil, 6, start)
	l.Propose(later)
	if l.NodeCount() != 1 {
		t.Fatal("removed by a list older than the one that showed the node")
	}
}

// An operator lowers a capacity below what is out. Nothing may be raised until
// acknowledgements bring the sum under it.
func TestNoRaiseOverALoweredCapacity(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 80, 0)
	lowered := twoRegions(50)
	lowered.Revision = 2
	l.SetLimits(NewLimits(lowered))
	setWanted(l, a, 20, 0)
	setWanted(l, b, 30, 0)
	commit(l, start)
	wantFloor(t, l, b, start, 0, "while more than the capacity is out")
	_, sequence := issue(t, l, a, start)
	l.Acknowledge(a.ID, 1, sequence)
	commit(l, start)
	wantFloor(t, l, b, start, 30, "once there was room")
	if l.SetLimits(NewLimits(twoRegions(100))) {
		t.Fatal("took an older configuration")
	}
}

// A decider dies. The next one must count what the last one gave: floors for
// good, surplus for its whole time from the takeover, moves with their age.
func TestTakeoverKeepsWhatWasGiven(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a)
	setWanted(l, a, 50, 50)
	l.SetPlan(Plan{Body: []byte("{}"), Sequence: 3}, []Move{{Service: "desk", Caller: "east", Place: "w1", Delta: 100}},
		time.Minute, time.Hour, start.Add(-time.Minute))
	value := l.Propose(start)
	l.ConfirmWrite()
	issue(t, l, a, start)

	next, err := Load(value, DefaultParams(), 2, NewLimits(twoRegions(100)), start)
	if err != nil {
		t.Fatal(err)
	}
	next.Rewrite(start)
	next.ConfirmWrite()
	next.RecordContact(b, start)
	setWanted(next, a, 50, 0)
	setWanted(next, b, 0, 50)
	commit(next, start)
	if got, _ := issue(t, next, b, start); got != (Amounts{}) {
		t.Fatalf("gave %v at once after the takeover", got)
	}
	ends := start.Add(next.params.WithMargin(next.params.SurplusTTL))
	commit(next, ends)
	if got, _ := issue(t, next, b, ends); got.Surplus != AmountFromRPS(50) {
		t.Fatalf("gave %v after the last surplus ended", got)
	}
	moves := next.Moves()
	if len(moves) != 1 || moves[0].Delta != 100 || moves[0].At.Before(start.Add(-time.Minute)) {
		t.Fatalf("moves after the takeover: %+v", moves)
	}
	if _, err := Load(value, DefaultParams(), 1, NewLimits(twoRegions(100)), start); err == nil {
		t.Fatal("took over from an epoch that is not older")
	}
}

// More is wanted for a region, and for the link into it, than they carry.
func TestRegionAndLinkBoundTheSum(t *testing.T) {
	a, far := node("a"), node("far")
	far.Region = "west"
	l := newTestLedger(t, a, far)
	setWanted(l, a, 80, 0)
	setWanted(l, far, 80, 0)
	commit(l, start)
	if err := l.Allowed().Check(l.Limits()); err != nil {
		t.Fatal(err)
	}
	wantFloor(t, l, far, start, 20, "to a node outside the region")
}

// A VM is so new that no list shows it. If it ended, no list could ever tell,
// so it gets only what ends by itself.
func TestUnlistedNodeGetsNoFloor(t *testing.T) {
	a := node("a")
	a.ListSequence = 0
	l := newTestLedger(t, a)
	setWanted(l, a, 50, 50)
	commit(l, start)
	if got, _ := issue(t, l, a, start); got != (Amounts{Surplus: AmountFromRPS(50)}) {
		t.Fatalf("gave %v", got)
	}
	l.ObserveVMs([]ListedVM{{VM: "a", Address: "a:1"}}, 1, start)
	commit(l, start)
	wantFloor(t, l, a, start, 50, "once it was listed")
}

// A planned stop frees what the node had, and writes that at once: the next
// decider would otherwise count it until the removal time.
func TestStoppedNodeIsFreeAndWritten(t *testing.T) {
	a := node("a")
	l := newTestLedger(t, a)
	commitAndIssue(t, l, a, 100, 0)
	l.Release(a.ID)
	l.SetLeaving(a.ID, false)
	if !commit(l, start) {
		t.Fatal("not written")
	}
	if use := l.Reserved(); use.Keys[l.Keys()[0]] != 0 {
		t.Fatalf("%d still counted in the store", use.Keys[l.Keys()[0]])
	}
	if !l.States(start)[0].Leaving {
		t.Fatal("a late report made a stopped node a live one")
	}
}
