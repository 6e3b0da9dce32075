package quota

import (
	"testing"
	"time"
)

// heldBy returns a holder with one token in advance, and the time of its report.
func heldBy(t *testing.T) (*Holder, Limit, time.Time) {
	t.Helper()
	now, l := time.Unix(1000, 0), Limit{ID: 7, Rate: 24, Burst: 24}
	h := NewHolder(modelBounds, 1, 1, 1, func() int { return 1 }, now)
	if v, _, _ := h.take(now, l); v != pending {
		t.Fatalf("verdict %v without a token", v)
	}
	m := h.report(now, 0)
	h.apply(now, 0, &reply{incarnation: 1, groups: 1, sequence: m.sequence, grants: []grant{{id: 7, tokens: 2}}})
	return h, l, now
}

// Tokens must not be used after their lease: the coordinator has granted others by then.
func TestTokensEndWithTheLease(t *testing.T) {
	h, l, now := heldBy(t)
	if h.holdings[7].tokens != 1 {
		t.Fatalf("%d tokens, one of two was waited for", h.holdings[7].tokens)
	}
	if h.takeNow(now.Add(lease), l) {
		t.Error("a token was used after its lease")
	}
	h.giveBack(now.Add(lease), l.ID)
	if h.takeNow(now.Add(lease), l) {
		t.Error("a token came back after its lease")
	}
}

// A request that stops waiting as it is admitted must not leave a token behind that has no lease.
func TestCancelledRequestLeavesNoTokenWithoutLease(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {lease, false}} {
		h, l, now := heldBy(t)
		h.takeNow(now, l)
		_, _, w := h.take(now, l)
		m := h.report(now, 0)
		h.apply(now, 0, &reply{incarnation: 1, groups: 1, sequence: m.sequence, grants: []grant{{id: 7, tokens: 1}}})
		h.takeNow(now.Add(c.after), l)
		h.cancel(now.Add(c.after), l.ID, w)
		if got := h.takeNow(now.Add(c.after), l); got != c.want {
			t.Errorf("cancelled %s after the report: token left %v", c.after, got)
		}
	}
}

// A reply that arrives late, twice or for an earlier start must add nothing.
func TestOldRepliesAreIgnored(t *testing.T) {
	h, l, now := heldBy(t)
	h.takeNow(now, l)
	h.apply(now, 0, &reply{incarnation: 1, groups: 1, sequence: 1, grants: []grant{{id: 7, tokens: 5}}})
	m := h.report(now, 0)
	h.apply(now, 0, &reply{incarnation: 2, groups: 1, sequence: m.sequence, grants: []grant{{id: 7, tokens: 5}}})
	if h.takeNow(now, l) {
		t.Error("an old reply was applied")
	}
}

// The fleet may shrink between a report and its reply: a group that is gone must be ignored.
func TestGroupsThatAreGoneAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolder(modelBounds, 1, 1, 3, func() int { return 300 }, now)
	m := h.report(now, 2)
	h.setGroups(now, 1)
	h.apply(now, 2, &reply{incarnation: 1, group: 2, groups: 3, sequence: m.sequence})
	h.forgetReports(2)
	if _, waits := h.unansweredSince(2); waits || h.hasWaiters(2) || h.report(now, 2) != nil {
		t.Error("a group that is gone has reports or waiters")
	}
}
