package refusals

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against refusals that stay in the sum for longer than a minute, leave it earlier, or restart
// the time since when an account is refused.
func TestLastMinute(t *testing.T) {
	start := time.Now()
	l := New(start)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	l.Count(at(1.5), Refusal{Account: "a", Reason: "too late"})
	l.Count(at(1.6), Refusal{Account: "a", Reason: "too late"})
	l.Count(at(30), Refusal{Account: "a", Reason: "too late"})
	l.Count(at(30), Refusal{Account: "a", Reason: "over"})
	l.Count(at(31), Refusal{Account: "b", Reason: "too late"})
	want := []Account{
		{Account: "a", Refused: 4, Reasons: []Reason{{"too late", 3, 30.5}, {"over", 1, 2}}},
		{Account: "b", Refused: 1, Reasons: []Reason{{"too late", 1, 1}}},
	}
	if diff := cmp.Diff(want, l.LastMinute(at(32))); diff != "" {
		t.Error(diff)
	}
	for _, c := range []struct {
		at   float64
		want int
	}{{60.9, 5}, {61, 3}, {89.9, 3}, {90, 1}, {91, 0}, {500, 0}} {
		n := 0
		for _, a := range l.LastMinute(at(c.at)) {
			n += a.Refused
		}
		if n != c.want {
			t.Errorf("after %v s: %d refusals, want %d", c.at, n, c.want)
		}
	}
	l.Count(at(500), Refusal{Account: "a", Reason: "too late"})
	if diff := cmp.Diff([]Account{{Account: "a", Refused: 1, Reasons: []Reason{{"too late", 1, 2}}}}, l.LastMinute(at(502))); diff != "" {
		t.Error(diff)
	}
}

// Guards against memory that grows with the number of accounts or reasons, and against accounts that
// stay among the others after room has become free.
func TestBounds(t *testing.T) {
	start := time.Now()
	l := New(start)
	for i := range 3 * MaxAccounts {
		for j := range 2 * maxReasons {
			l.Count(start, Refusal{Account: fmt.Sprint("a", i), Reason: fmt.Sprint("r", j)})
		}
	}
	list := l.LastMinute(start)
	if len(list) != MaxAccounts || list[0].Account != Others {
		t.Fatalf("%d accounts, first %q", len(list), list[0].Account)
	}
	total := 0
	for _, a := range list {
		if len(a.Reasons) > maxReasons {
			t.Fatalf("%q has %d reasons", a.Account, len(a.Reasons))
		}
		total += a.Refused
	}
	if want := 3 * MaxAccounts * 2 * maxReasons; total != want {
		t.Errorf("%d refusals counted, want %d", total, want)
	}
	later := start.Add(2 * time.Minute)
	l.Count(later, Refusal{Account: "new", Reason: "r"})
	if list := l.LastMinute(later); len(list) != 1 || list[0].Account != "new" {
		t.Errorf("%+v", list)
	}
}

// Guards against an allocation for each refusal of a known account.
func TestCountDoesNotAllocate(t *testing.T) {
	l, now := New(time.Now()), time.Now()
	l.Count(now, Refusal{Account: "a", Reason: "too late"})
	if n := testing.AllocsPerRun(100, func() {
		now = now.Add(time.Second)
		l.Count(now, Refusal{Account: "a", Reason: "too late"})
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Guards against a reason that is hidden among the others because of reasons that ended more than a minute ago.
func TestEndedReasonsMakeRoom(t *testing.T) {
	start := time.Now()
	l := New(start)
	for i := range maxReasons {
		l.Count(start, Refusal{Account: "a", Reason: fmt.Sprint("r", i)})
	}
	later := start.Add(2 * time.Minute)
	l.Count(later, Refusal{Account: "a", Reason: "too late"})
	want := []Account{{Account: "a", Refused: 1, Reasons: []Reason{{"too late", 1, 1}}}}
	if diff := cmp.Diff(want, l.LastMinute(later.Add(time.Second))); diff != "" {
		t.Error(diff)
	}
	for range 5 {
		later = later.Add(2 * time.Minute)
		for i := range 2 * maxReasons {
			l.Count(later, Refusal{Account: "a", Reason: fmt.Sprint(later, i)})
		}
		if n := len(l.accounts["a"].reasons); n > maxReasons {
			t.Fatalf("%d reasons", n)
		}
	}
}
