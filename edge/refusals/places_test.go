package refusals

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Guards against refusals that are added up over services or regions, and against an account that is shown as
// served instead although it was served before or after the refusals, or elsewhere.
func TestServedWhileAnotherIsRefused(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	l, starts := New(start), NewStarts(at(0.5))
	refuse := func(s float64, service, region, account, reason string) {
		l.Count(at(s), Refusal{Service: service, Region: region, Account: account, Reason: reason})
	}
	refuse(20.2, "s", "a", "x", "too late")
	refuse(23.2, "s", "a", "x", "too late")
	refuse(23.3, "s", "a", "x", "over")
	refuse(23.4, "s", "b", "x", "too late")
	refuse(23.5, "other", "a", "x", "too late")
	refuse(23.6, "", "", "x", "no route")
	add := func(s float64, account string, rank, n int) {
		for range n {
			starts.Add(at(s), account, rank)
		}
	}
	// Before the refusals, between them, in the same seconds, and after them.
	add(15, "before", 0, 50)
	add(22, "between", 0, 50)
	add(20.4, "y", 0, 3)
	add(23.1, "y", 0, 4)
	add(23.1, "y", 4, 2)
	add(23.1, "x", 2, 5)
	add(23.1, "few", 2, 1)
	add(26, "after", 0, 50)
	places := l.Places(at(27), func(service, region string, during *Seconds) []Started {
		if service != "s" || region != "a" {
			return nil
		}
		return starts.Most(at(27), during)
	})
	want := []Place{
		{Service: "s", Region: "a", Account: "x", Refused: 3, Reasons: []Reason{{"too late", 2, 6.8}, {"over", 1, 3.7}}, Started: []Started{
			{Rank: 0, Account: "y", Started: 7}, {Rank: 2, Account: "x", Started: 5}, {Rank: 4, Account: "y", Started: 2},
		}},
		{Service: "other", Region: "a", Account: "x", Refused: 1, Reasons: []Reason{{"too late", 1, 3.5}}},
		{Service: "s", Region: "b", Account: "x", Refused: 1, Reasons: []Reason{{"too late", 1, 3.6}}},
	}
	if diff := cmp.Diff(want, places, cmpopts.IgnoreUnexported(Place{})); diff != "" {
		t.Error(diff)
	}
	for _, s := range []float64{34, 60, 500} {
		if places := l.Places(at(s), func(_, _ string, during *Seconds) []Started { return starts.Most(at(s), during) }); len(places) > 0 && len(places[0].Started) > 0 {
			t.Errorf("after %v s: %+v", s, places[0])
		}
	}
	if places := l.Places(at(500), func(string, string, *Seconds) []Started { return nil }); len(places) != 0 {
		t.Errorf("%+v", places)
	}
}

// Guards against memory that grows with the number of accounts, and against an account that is refused now but
// dropped in favour of one whose refusals are older.
func TestPlacesAreBounded(t *testing.T) {
	start := time.Now()
	l := New(start)
	for round := range 3 {
		for i := range 10 * maxPlaces {
			for j := range 2 * maxReasons {
				l.Count(start, Refusal{Service: "s", Region: "a", Account: fmt.Sprint("a", round, i), Reason: fmt.Sprint("r", j)})
			}
			l.Count(start, Refusal{Service: "s", Region: "a", Account: "kept", Reason: "too late"})
		}
	}
	places := l.Places(start, func(string, string, *Seconds) []Started { return nil })
	if len(places) != maxPlaces || places[0].Account != "kept" || places[0].Refused != 30*maxPlaces {
		t.Fatalf("%d places, first %+v", len(places), places[0])
	}
	for _, p := range l.places {
		if len(p.reasons) > maxReasons {
			t.Fatalf("%d reasons", len(p.reasons))
		}
	}
	for _, p := range places[1:] {
		if p.Refused != 2*maxReasons {
			t.Errorf("%+v", p)
		}
	}
}

// Guards against an account with many starts that is pushed out by many with few.
func TestMostStartedAmongThousands(t *testing.T) {
	start := time.Now()
	l, starts := New(start), NewStarts(start)
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		l.Count(now, Refusal{Service: "s", Region: "a", Account: "x", Reason: "too late"})
		starts.Add(now, fmt.Sprint("a", i), 3)
		starts.Add(now, "large", 0)
	}
	now := start.Add(5 * time.Second)
	places := l.Places(now, func(_, _ string, during *Seconds) []Started { return starts.Most(now, during) })
	if len(places) != 1 || len(places[0].Started) != maxStarted || places[0].Started[0] != (Started{Rank: 0, Account: "large", Started: 5000}) {
		t.Errorf("%+v", places)
	}
}

// Guards against an allocation for each start or refusal, also where thousands of accounts take turns.
func TestStartsAndPlacesDoNotAllocate(t *testing.T) {
	now := time.Now()
	l, starts := New(now), NewStarts(now)
	var names []string
	for i := range 1000 {
		names = append(names, fmt.Sprint("a", i))
		l.Count(now, Refusal{Service: "s", Region: "a", Account: names[i], Reason: "too late"})
	}
	i := 0
	if n := testing.AllocsPerRun(5000, func() {
		now = now.Add(10 * time.Millisecond)
		i++
		starts.Add(now, names[i%len(names)], i%16)
		l.countPlace(now, Refusal{Service: "s", Region: "a", Account: names[i%len(names)], Reason: "too late"}, l.second(now))
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Guards against a count at a wrong second, or a panic, if concurrent callers pass times out of order.
func TestStartsOutOfOrder(t *testing.T) {
	start := time.Now()
	l, starts := New(start.Add(-time.Minute)), NewStarts(start)
	for _, s := range []int{0, -3, 30, 29, 12, 31} {
		now := start.Add(time.Duration(s) * time.Second)
		starts.Add(now, "y", 1)
		l.Count(now, Refusal{Service: "s", Region: "a", Account: "x", Reason: "too late"})
	}
	now := start.Add(31 * time.Second)
	places := l.Places(now, func(_, _ string, during *Seconds) []Started { return starts.Most(now, during) })
	if want := []Started{{Rank: 1, Account: "y", Started: 4}}; len(places) != 1 || !cmp.Equal(want, places[0].Started) {
		t.Errorf("%+v", places)
	}
}

// Measures what a start adds to the decision on a request.
func BenchmarkStartsAdd(b *testing.B) {
	now := time.Now()
	starts := NewStarts(now)
	var names []string
	for i := range 80 {
		names = append(names, fmt.Sprint("account-", i))
	}
	for i := 0; b.Loop(); i++ {
		starts.Add(now.Add(time.Duration(i)*time.Millisecond), names[i%len(names)], i%4)
	}
}

// Measures how long the page keeps decisions from being made, for one of at most maxPlaces entries.
func BenchmarkStartsMost(b *testing.B) {
	now := time.Now()
	starts := NewStarts(now)
	for i := range 10000 {
		starts.Add(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("account-", i%200), i%16)
	}
	during := &Seconds{began: now}
	for i := range during.refused {
		during.refused[i] = true
	}
	for b.Loop() {
		starts.Most(now.Add(10*time.Second-time.Millisecond), during)
	}
}
