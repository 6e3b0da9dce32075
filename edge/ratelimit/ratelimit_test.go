package ratelimit

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func newTable() (*Table, *map[uint32]float64) {
	var limits map[uint32]float64
	return New(start, func(l map[uint32]float64) { limits = l }), &limits
}

func TestLimitIsKeptUntilWithdrawn(t *testing.T) {
	table, limits := newTable()
	if table.Observe(Observation{Target: 1, At: start}, start) {
		t.Error("an answer without a limit changes one")
	}
	if !table.Observe(Observation{Target: 1, Limited: true, Rate: 2.5, At: start}, start) || (*limits)[1] != 2.5 {
		t.Errorf("limits %v", *limits)
	}
	at := start.Add(time.Second)
	if table.Observe(Observation{Target: 1, Limited: true, Rate: 2.5, At: at}, at) {
		t.Error("the same limit is a change")
	}
	if table.Observe(Observation{Target: 1, At: at.Add(time.Second)}, at.Add(-time.Millisecond)) {
		t.Error("an answer to a request that was sent before the limit was stated withdraws it")
	}
	if !table.Observe(Observation{Target: 1, At: at.Add(time.Second)}, at) || len(*limits) != 0 {
		t.Errorf("limits %v after the withdrawal", *limits)
	}
}

// A VM must take over what another one observed last, whatever order reports arrive in.
func TestNewestObservationCounts(t *testing.T) {
	table, limits := newTable()
	now := start.Add(2*time.Second + maxTransit)
	table.Merge(now, []Announced{
		{Target: 1, Limited: true, Rate: 3}, {Target: 1, Limited: true, Rate: 5, AgeMillis: 2000},
		{Target: 2, Limited: true, Rate: 1, AgeMillis: 2000}, {Target: 2, AgeMillis: 1000},
	})
	if len(*limits) != 1 || (*limits)[1] != 3 {
		t.Errorf("limits %v, want 3 for target 1 only", *limits)
	}
	if rate, limited := table.Limit(1); rate != 3 || !limited {
		t.Errorf("limit %v, %v", rate, limited)
	}
	table.Expire(start.Add(2*time.Second + observationTTL))
	if len(*limits) != 0 {
		t.Errorf("limits %v after their time", *limits)
	}
}

// What this VM observed last must not be replaced by its own older announcement that comes back.
func TestEchoIsNotNewer(t *testing.T) {
	table, limits := newTable()
	other, _ := newTable()
	table.Observe(Observation{Target: 1, Limited: true, Rate: 3, At: start}, start)
	other.Merge(start.Add(maxTransit), table.Announcement(start))
	table.Observe(Observation{Target: 1, At: start.Add(time.Millisecond)}, start)
	table.Merge(start.Add(2*maxTransit), other.Announcement(start.Add(maxTransit)))
	if len(*limits) != 0 {
		t.Errorf("limits %v after the withdrawal", *limits)
	}
}

// Each observation must be announced within a bounded time, however many there are.
func TestAllObservationsAreAnnounced(t *testing.T) {
	table, _ := newTable()
	const targets = 5*maxAnnounced + 3
	for i := range targets {
		table.Observe(Observation{Target: uint32(i), Limited: true, Rate: 1, At: start}, start)
	}
	announced := make(map[uint32]bool)
	for round := range targets/maxAnnounced + 2 {
		list := table.Announcement(start.Add(time.Duration(round) * AnnounceInterval))
		if len(list) > maxAnnounced {
			t.Fatalf("%d observations in one announcement", len(list))
		}
		for _, o := range list {
			announced[o.Target] = true
		}
	}
	if len(announced) != targets {
		t.Errorf("%d of %d targets announced", len(announced), targets)
	}
}
