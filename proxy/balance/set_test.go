package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

const settled = int64(time.Hour)

func newSet(n, limit int) *Set {
	s := &Set{}
	for range n {
		s.Targets = append(s.Targets, NewTarget(0, limit))
	}
	return s
}

// When all targets fail, at least half of them must stay in use.
func TestAtMostHalfOfTheTargetsIsEjected(t *testing.T) {
	for n := 1; n <= 9; n++ {
		s := newSet(n, 3)
		for range 100 {
			for i := range s.Targets {
				s.RecordFailure(i, settled)
			}
		}
		if usable := s.UsableCount(settled); usable != n-n/2 {
			t.Fatalf("%d of %d targets usable", usable, n)
		}
	}
}

// A target must not be ejected if the others lack slots for its requests.
func TestNoEjectionIntoOverload(t *testing.T) {
	s := newSet(4, 3)
	for i := range s.Targets {
		for range 2 {
			s.Targets[i].Acquire()
		}
	}
	s.Targets[0].Acquire()
	for range 100 {
		s.RecordFailure(0, settled)
	}
	if usable := s.UsableCount(settled); usable != 4 {
		t.Fatalf("%d targets usable with %d requests in flight", usable, 9)
	}
}

// No target may get more concurrent requests than its limit; leaving, ejected,
// paused and skipped targets must get none.
func TestAcquireUsesOnlyAvailableTargets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := newSet(6, 2)
	s.Targets[0].SetListedLeaving(true)
	s.Targets[1].MarkLeaving()
	for range 100 {
		s.RecordFailure(2, settled)
	}
	s.Targets[3].RecordShed(settled)
	skip := Skip(0).With(4)
	got := make([]int, 6)
	for {
		i := s.Acquire(settled, random.Uint64(), skip)
		if i < 0 {
			break
		}
		got[i]++
	}
	if got[5] != 2 || got[0]+got[1]+got[2]+got[3]+got[4] != 0 {
		t.Fatalf("requests %v", got)
	}
	if i := s.Acquire(settled+int64(ShedPause), random.Uint64(), skip); i != 3 {
		t.Fatalf("target %d, want the one whose pause has ended", i)
	}
}

// Fast failures must not lower the latency estimate of a target.
func TestFailureKeepsLatency(t *testing.T) {
	s := newSet(2, 100)
	s.Targets[0].RecordLatency(10 * time.Millisecond)
	s.Targets[1].RecordLatency(10 * time.Millisecond)
	before := s.Targets[0].Latency()
	s.RecordFailure(0, settled)
	if s.Targets[0].Latency() != before {
		t.Fatal("a failure changed the latency")
	}
}

// A new target must start with a small share of the requests.
func TestNewTargetStartsSlowly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := newSet(4, 1000)
	s.Targets[0] = NewTarget(settled, 1000)
	got := make([]int, 4)
	for range 400 {
		got[s.Acquire(settled, random.Uint64(), 0)]++
	}
	if got[0] > 20 || got[1] < 100 {
		t.Fatalf("requests %v", got)
	}
}

// A target must get requests again after one slow response, even if other targets
// are always free.
func TestSlowResponseDecays(t *testing.T) {
	const interval = 100 * time.Millisecond
	s := newSet(4, 3)
	random := rand.New(rand.NewPCG(1, 2))
	s.Targets[0].RecordLatency(time.Second)
	sent, repeated := 0, 0
	for now := time.Duration(0); now < 3*estimateLifetime; now += interval {
		i := s.Acquire(int64(now), random.Uint64(), 0)
		s.Targets[i].RecordLatency(5 * time.Millisecond)
		s.Targets[i].Release()
		sent++
		if i == 0 {
			repeated++
		}
	}
	if repeated == 0 || repeated > sent/2 {
		t.Errorf("%d of %d requests went to the target that was slow once", repeated, sent)
	}
}

// A target that stays slow must get only an occasional request.
func TestSlowTargetGetsFewRequests(t *testing.T) {
	const interval, lifetimes = 10 * time.Millisecond, 6
	s := newSet(4, 3)
	random := rand.New(rand.NewPCG(1, 2))
	slow := 0
	for now := time.Duration(0); now < lifetimes*estimateLifetime; now += interval {
		i := s.Acquire(int64(now), random.Uint64(), 0)
		latency := 5 * time.Millisecond
		if i == 0 {
			latency = 200 * time.Millisecond
			slow++
		}
		s.Targets[i].RecordLatency(latency)
		s.Targets[i].Release()
	}
	if slow < lifetimes-1 || slow > 2*lifetimes {
		t.Errorf("a slow target got %d requests in %d estimate lifetimes", slow, lifetimes)
	}
}
