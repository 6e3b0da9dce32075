package ledger

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// twoRegions returns an account with one service in one place of each of two regions.
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

// newTestLedger returns a ledger with nodes whose first write is confirmed.
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

// A raise must not be issued before its write is confirmed, or the next decider
// might not count it.
func TestRaiseIssuedOnlyAfterWrite(t *testing.T) {
	a := node("a")
	l := newTestLedger(t, a)
	setWanted(l, a, 40, 0)
	if l.Propose(start) == nil {
		t.Fatal("no write proposed for a raise")
	}
	wantFloor(t, l, a, start, 0, "before the write")
	l.ConfirmWrite()
	wantFloor(t, l, a, start, 40, "after the write")
}

// While a write that lowers a node is pending, the old amount must not be issued
// again: if the write takes effect, the next decider counts only the lower one.
func TestPendingReductionLimitsIssuedAmount(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 40, 0)
	setWanted(l, a, 10, 0)
	_, sequence := issue(t, l, a, start)
	l.Acknowledge(a.ID, 1, sequence)
	setWanted(l, b, 90, 0)
	if l.Propose(start) == nil {
		t.Fatal("no write proposed for a raise")
	}
	setWanted(l, a, 40, 0)
	wantFloor(t, l, a, start, 10, "while the reduction is pending")
}

// A lowered floor is freed only by an acknowledgement: if the message is lost, the
// node keeps using the old floor.
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

// A surplus is freed after its TTL and margin without an acknowledgement, and not
// earlier.
func TestSurplusFreedAfterTTLAndMargin(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 0, 100)
	setWanted(l, a, 0, 0)
	setWanted(l, b, 0, 100)
	expiry := start.Add(l.params.WithMargin(l.params.SurplusTTL))
	commit(l, expiry.Add(-time.Nanosecond))
	wantSurplus(t, l, b, expiry.Add(-time.Nanosecond), 0, "before expiry")
	commit(l, expiry)
	wantSurplus(t, l, b, expiry, 100, "after expiry")
}

// The floor of a node that left the VM list stays reserved for the removal time
// and is freed after it.
func TestFloorFreedAfterRemovalTime(t *testing.T) {
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
	wantFloor(t, l, b, free, 0, "before the removal time")
	l.ObserveVMs(listed, 2, free)
	commit(l, free)
	wantFloor(t, l, b, free, 100, "after the removal time")
}

// During an outage of the list service, the last reading is passed repeatedly. A VM
// missing from it may be back, so its floor stays reserved until a new reading.
func TestVMListOutageDoesNotFreeFloor(t *testing.T) {
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
		wantFloor(t, l, b, now, 0, "during the list outage")
	}
	l.RecordContact(b, back)
	l.ObserveVMs(listed, 2, back)
	commit(l, back)
	wantFloor(t, l, b, back, 100, "after a new reading without the VM")
}

// After a process restart the VM stays listed. The floor of the previous
// incarnation is freed after the removal time and not earlier.
func TestFloorOfPreviousIncarnationFreed(t *testing.T) {
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
			t.Fatalf("issued %v after %s", got, now.Sub(restarted))
		}
	}
	commit(l, free)
	wantFloor(t, l, second, free, 100, "after the removal time")
}

// A VM list older than the one that contained a node does not show that it ended.
func TestOlderVMListDoesNotRemoveNode(t *testing.T) {
	a := node("a")
	a.ListSequence = 7
	l := newTestLedger(t, a)
	commitAndIssue(t, l, a, 100, 0)
	later := start.Add(time.Hour)
	l.ObserveVMs(nil, 6, start)
	l.Propose(later)
	if l.NodeCount() != 1 {
		t.Fatal("node removed by a VM list older than the one that contained it")
	}
}

// After a capacity is lowered below the outstanding amounts, nothing is raised until
// acknowledgements bring the sum below it.
func TestNoRaiseAboveLoweredCapacity(t *testing.T) {
	a, b := node("a"), node("b")
	l := newTestLedger(t, a, b)
	commitAndIssue(t, l, a, 80, 0)
	lowered := twoRegions(50)
	lowered.Revision = 2
	l.SetLimits(NewLimits(lowered))
	setWanted(l, a, 20, 0)
	setWanted(l, b, 30, 0)
	commit(l, start)
	wantFloor(t, l, b, start, 0, "while the outstanding amounts exceed the capacity")
	_, sequence := issue(t, l, a, start)
	l.Acknowledge(a.ID, 1, sequence)
	commit(l, start)
	wantFloor(t, l, b, start, 30, "once capacity was free")
	if l.SetLimits(NewLimits(twoRegions(100))) {
		t.Fatal("an older configuration was accepted")
	}
}

// A takeover keeps the floors, counts each surplus for a full TTL from the takeover,
// and keeps the moves with their age.
func TestTakeoverKeepsGrantsAndMoves(t *testing.T) {
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
		t.Fatalf("issued %v immediately after the takeover", got)
	}
	expiry := start.Add(next.params.WithMargin(next.params.SurplusTTL))
	commit(next, expiry)
	if got, _ := issue(t, next, b, expiry); got.Surplus != AmountFromRPS(50) {
		t.Fatalf("issued %v after the previous surplus expired", got)
	}
	moves := next.Moves()
	if len(moves) != 1 || moves[0].Delta != 100 || moves[0].At.Before(start.Add(-time.Minute)) {
		t.Fatalf("moves after the takeover: %+v", moves)
	}
	if _, err := Load(value, DefaultParams(), 1, NewLimits(twoRegions(100)), start); err == nil {
		t.Fatal("loaded a ledger whose epoch is not older")
	}
}

// The wanted amounts exceed the limits of a region and of the link into it.
func TestRegionAndLinkLimitAmounts(t *testing.T) {
	a, far := node("a"), node("far")
	far.Region = "west"
	l := newTestLedger(t, a, far)
	setWanted(l, a, 80, 0)
	setWanted(l, far, 80, 0)
	commit(l, start)
	if err := l.Allowed().Check(l.Limits()); err != nil {
		t.Fatal(err)
	}
	wantFloor(t, l, a, start, 50, "to a node inside the region")
	wantFloor(t, l, far, start, 50, "to a node outside the region")
}

// A node that joins a region whose capacity others still hold must get a part for each
// place: with all of what is free for the first one, it refuses the requests for the
// others.
func TestJoiningNodesShareWhatIsFreeAmongAllPlaces(t *testing.T) {
	account := twoRegions(100)
	account.Places = append(account.Places, model.Place{Name: "e2", Region: "east"})
	desk := &account.Services[0]
	desk.Capacity = append(desk.Capacity, model.PlaceCapacity{Place: "e2", RPS: 100})
	l := New(DefaultParams(), 1, NewLimits(account))
	l.Rewrite(start)
	l.ConfirmWrite()
	old, first, second := node("old"), node("first"), node("second")
	wantedInEast := func(n Node, rps float64) {
		w := make([]Amounts, len(l.Keys()))
		for k, key := range l.Keys() {
			if l.Limits().RegionOf(key.Place) == "east" {
				w[k].Floor = AmountFromRPS(rps)
			}
		}
		l.SetWanted(n.ID, w)
	}
	l.RecordContact(old, start)
	wantedInEast(old, 46)
	commit(l, start)
	issue(t, l, old, start)
	for _, n := range []Node{first, second} {
		l.RecordContact(n, start)
		wantedInEast(n, 20)
	}
	commit(l, start)
	for _, n := range []Node{first, second} {
		set, ok := l.Issue(n.ID, start)
		if !ok {
			t.Fatal("no set issued")
		}
		for k, key := range l.Keys() {
			if l.Limits().RegionOf(key.Place) == "east" && set.Amounts[k].Floor != AmountFromRPS(2) {
				t.Errorf("%s has %.1f requests/s for %s, want its part of the 8 that are free, 2.0", n.ID.VM, set.Amounts[k].Floor.RPS(), key.Place)
			}
		}
	}
	if err := l.Allowed().Check(l.Limits()); err != nil {
		t.Error(err)
	}
}

// A node that no VM list has contained gets only surplus: no list could show that it
// ended, and its floor would never be freed.
func TestUnlistedNodeGetsNoFloor(t *testing.T) {
	a := node("a")
	a.ListSequence = 0
	l := newTestLedger(t, a)
	setWanted(l, a, 50, 50)
	commit(l, start)
	if got, _ := issue(t, l, a, start); got != (Amounts{Surplus: AmountFromRPS(50)}) {
		t.Fatalf("issued %v", got)
	}
	l.ObserveVMs([]ListedVM{{VM: "a", Address: "a:1"}}, 1, start)
	commit(l, start)
	wantFloor(t, l, a, start, 50, "after it was listed")
}

// A release is written at once, or the next decider would count the grants until the
// removal time.
func TestReleaseIsWrittenAtOnce(t *testing.T) {
	a := node("a")
	l := newTestLedger(t, a)
	commitAndIssue(t, l, a, 100, 0)
	l.Release(a.ID)
	l.SetLeaving(a.ID, false)
	if !commit(l, start) {
		t.Fatal("no write proposed after a release")
	}
	if use := l.Reserved(); use.Keys[l.Keys()[0]] != 0 {
		t.Fatalf("%d still reserved in the store", use.Keys[l.Keys()[0]])
	}
	if !l.States(start)[0].Leaving {
		t.Fatal("a late report cleared the leaving state of a stopped node")
	}
}
