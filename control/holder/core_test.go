package holder

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/internal/names"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = grant.Key{Account: "test", Service: "desk", Place: "a"}
)

func newCore(vm string) *Core {
	c := New(Options{
		Node:           grant.NodeID{VM: vm, Incarnation: 1},
		Region:         "east",
		Account:        "test",
		Params:         ledger.DefaultParams(),
		RequestTimeout: DefaultRequestTimeout,
		LendShare:      0.5,
	})
	c.Tick(start)
	return c
}

func response(epoch, sequence, floor, surplus uint64) *peerpb.RenewResponse {
	return &peerpb.RenewResponse{
		Epoch:        epoch,
		Sequence:     sequence,
		SurplusTtlMs: 15_000,
		Grants:       []*peerpb.Grant{{Service: "desk", Place: "a", Floor: floor, Surplus: surplus}},
	}
}

func lendRequest(region string) *peerpb.LendRequest {
	return &peerpb.LendRequest{
		Node:     &peerpb.NodeRef{Vm: "borrower", Incarnation: 1, Region: region},
		Transfer: 7,
		Wanted:   []*peerpb.Grant{{Service: "desk", Place: "a", Floor: 1000}},
	}
}

// tickUntil keeps a core running.
func tickUntil(c *Core, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(time.Second) {
		c.Tick(now)
	}
}

// A surplus ends by the time the report was sent, not by the time its answer
// came: the decider may give it to another node as soon as that has passed.
func TestSurplusCountsFromSending(t *testing.T) {
	c := newCore("a")
	sent := c.StartRequest(start)
	received := start.Add(2 * time.Second)
	c.Tick(received)
	if got := c.HandleResponse(sent, response(1, 1, 100, 50), received); got != Applied {
		t.Fatalf("outcome %d", got)
	}
	ends := start.Add(15 * time.Second)
	tickUntil(c, received, ends)
	if got := c.Set().Allowed(key, ends.Add(-time.Nanosecond)); got != 150 {
		t.Fatalf("%d before the end", got)
	}
	if got := c.Set().Allowed(key, ends); got != 100 {
		t.Fatalf("%d at the end", got)
	}
}

// A process is paused past the removal time, and its floors are another
// node's. When it goes on, its admission may run before any timer. It must
// permit nothing, take no answer from before the pause, and the empty set must
// not look older than the one that the admission has.
func TestPauseEndsFloors(t *testing.T) {
	c := newCore("a")
	c.HandleResponse(c.StartRequest(start), response(3, 9, 100, 0), start)
	before := c.Set()
	sent := c.StartRequest(start)
	resumed := start.Add(ledger.DefaultRemovalTime)
	if got := before.Allowed(key, resumed); got != 0 {
		t.Fatalf("%d permitted before the first tick", got)
	}
	if got := c.HandleResponse(sent, response(3, 10, 100, 0), resumed); got != Late {
		t.Fatalf("outcome %d of an answer from before the pause", got)
	}
	if !c.Tick(resumed) || before.Newer(c.Set()) {
		t.Fatal("no empty set that replaces the old one")
	}
	if got := c.Set().Allowed(key, resumed); got != 0 {
		t.Fatalf("%d permitted after the pause", got)
	}
	next := resumed.Add(time.Second)
	if got := c.HandleResponse(c.StartRequest(next), response(3, 11, 60, 0), next); got != Applied {
		t.Fatalf("outcome %d of an answer after the pause", got)
	}
}

// A paused decider goes on and answers with an older token.
func TestOlderEpochIsRefused(t *testing.T) {
	c := newCore("a")
	c.HandleResponse(c.StartRequest(start), response(5, 1, 100, 0), start)
	if got := c.HandleResponse(c.StartRequest(start.Add(1)), response(4, 99, 900, 0), start.Add(2)); got != Stale {
		t.Fatalf("outcome %d", got)
	}
	c.ObserveEpoch(6)
	if got := c.HandleResponse(c.StartRequest(start.Add(3)), response(5, 2, 900, 0), start.Add(4)); got != Stale {
		t.Fatalf("outcome %d after a newer decider was elected", got)
	}
}

// A lender's own floor is lower before its answer exists, a repeated request
// takes nothing more, and the floor is whole again when the loan has run out
// at the borrower.
func TestLenderLowersFirst(t *testing.T) {
	c := newCore("a")
	c.HandleResponse(c.StartRequest(start), response(1, 1, 1000, 0), start)
	for range 2 {
		answer, changed := c.Lend(lendRequest("east"), start)
		if !changed || answer.Code != uint32(result.OK) || answer.Lent[0].Floor != 500 {
			t.Fatalf("answer %v", answer)
		}
		if got := c.Set().Allowed(key, start); got != 500 {
			t.Fatalf("%d left after lending", got)
		}
	}
	if answer, _ := c.Lend(lendRequest("west"), start); answer.Code != uint32(result.Forbidden) {
		t.Fatalf("lent over a link: %v", answer)
	}
	b := newCore("b")
	if !b.HandleLoan(grant.NodeID{VM: "a"}, start, mustLend(t, c), start.Add(time.Second)) {
		t.Fatal("loan not taken")
	}
	ends := start.Add(ledger.DefaultLoanTTL)
	if got := b.Set().Allowed(key, ends.Add(-1)) + c.Set().Allowed(key, ends.Add(-1)); got != 1000 {
		t.Fatalf("%d permitted on both", got)
	}
	if got := b.Set().Allowed(key, ends); got != 0 {
		t.Fatalf("%d borrowed after the end", got)
	}
	later := ends.Add(time.Second)
	tickUntil(c, start, later)
	if got := c.Set().Allowed(key, later); got != 1000 {
		t.Fatalf("%d after the loan", got)
	}
}

func mustLend(t *testing.T, c *Core) *peerpb.LendResponse {
	t.Helper()
	answer, _ := c.Lend(lendRequest("east"), start)
	if answer.Code != uint32(result.OK) {
		t.Fatalf("not lent: %v", answer)
	}
	return answer
}

// A decider sends amounts in the order of names that it told another life of the
// node, or before the configuration changed. Taken for those of the names that the
// node has, they would push a place past its capacity.
func TestAmountsNeedTheirNames(t *testing.T) {
	c := newCore("a")
	named := response(1, 1, 100, 0)
	named.Grants = append(named.Grants, &peerpb.Grant{Service: "desk", Place: "b"})
	c.HandleResponse(c.StartRequest(start), named, start)
	h := names.NewHasher()
	for _, name := range []string{"desk", "a", "desk", "b"} {
		h.Add(name)
	}
	other := key
	other.Place = "b"
	for i, step := range []struct {
		response *peerpb.RenewResponse
		want     Outcome
		a, b     grant.Amount
	}{
		{&peerpb.RenewResponse{GrantKeys: h.Sum(), Floors: []uint64{70, 30}, Surpluses: []uint64{0, 0}}, Applied, 70, 30},
		{&peerpb.RenewResponse{GrantKeys: h.Sum() + 1, Floors: []uint64{900, 900}, Surpluses: []uint64{0, 0}}, UnknownGrantNames, 70, 30},
		{&peerpb.RenewResponse{GrantKeys: h.Sum(), Floors: []uint64{900}, Surpluses: []uint64{0}}, UnknownGrantNames, 70, 30},
		{response(1, 0, 50, 0), Applied, 50, 0},
	} {
		step.response.Epoch, step.response.Sequence = 1, uint64(i+2)
		got := c.HandleResponse(c.StartRequest(start), step.response, start)
		set := c.Set()
		if got != step.want || set.Allowed(key, start) != step.a || set.Allowed(other, start) != step.b {
			t.Errorf("answer %d: outcome %d, set %+v", i, got, set.Grants)
		}
		if asks := c.StartRequest(start).GrantNames; asks != (got == UnknownGrantNames) {
			t.Errorf("answer %d: asks for names: %v", i, asks)
		}
	}
}

// A decider lowers a floor of which a part is lent. The acknowledgement would
// free what the borrower still uses, so it waits for the loan to end.
func TestLoanHoldsBackTheAcknowledgement(t *testing.T) {
	c := newCore("a")
	c.HandleResponse(c.StartRequest(start), response(1, 1, 1000, 0), start)
	mustLend(t, c)
	c.HandleResponse(c.StartRequest(start), response(1, 2, 100, 0), start)
	if sent := c.StartRequest(start); sent.Sequence != 1 {
		t.Fatalf("acknowledged %d with a loan out", sent.Sequence)
	}
	later := start.Add(ledger.DefaultParams().Wait(ledger.DefaultLoanTTL))
	tickUntil(c, start, later)
	c.Tick(later)
	if sent := c.StartRequest(later); sent.Sequence != 2 {
		t.Fatalf("acknowledged %d after the loan", sent.Sequence)
	}
}
