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

// All targets fail, as when the service behind them is broken. Ejecting them
// all would leave the last ones with everything; half always stays.
func TestHalfOfTheTargetsStays(t *testing.T) {
	for n := 1; n <= 9; n++ {
		s := newSet(n, 3)
		for range 100 {
			for i := range s.Targets {
				s.RecordFailure(i, settled)
			}
		}
		if usable := s.UsableCount(settled); usable != n-n/2 {
			t.Fatalf("%d of %d targets stay", usable, n)
		}
	}
}

// The rest is busy already. Ejecting one more target would push it over.
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
		t.Fatalf("%d targets left for %d requests under way", usable, 9)
	}
}

// No target gets more requests at once than its limit, and leaving, ejected and
// marked targets get none.
func TestAcquireKeepsToOpenTargets(t *testing.T) {
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
		t.Fatalf("target %d, want the one whose pause is over", i)
	}
}

// A target fails fast. Its failures must not make it look like the fastest.
func TestFailingFastAttractsNothing(t *testing.T) {
	s := newSet(2, 100)
	s.Targets[0].RecordLatency(10 * time.Millisecond)
	s.Targets[1].RecordLatency(10 * time.Millisecond)
	before := s.Targets[0].Latency()
	s.RecordFailure(0, settled)
	if s.Targets[0].Latency() != before {
		t.Fatal("a failure changed the latency")
	}
}

// A new target gets a small part at first: it is cold.
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

// One target of four stalls for a moment and answers one request late. Callers come
// one at a time, so that one of the others is always free: the target had no work
// from then on, however quick it was again, as only an answer changes the estimate.
func TestSlowAnswerIsForgiven(t *testing.T) {
	const every = 100 * time.Millisecond
	s := newSet(4, 3)
	random := rand.New(rand.NewPCG(1, 2))
	s.Targets[0].RecordLatency(time.Second)
	asked, again := 0, 0
	for now := time.Duration(0); now < 3*estimateLife; now += every {
		i := s.Acquire(int64(now), random.Uint64(), 0)
		s.Targets[i].RecordLatency(5 * time.Millisecond)
		s.Targets[i].Release()
		asked++
		if i == 0 {
			again++
		}
	}
	if again == 0 || again > asked/2 {
		t.Errorf("%d of %d requests came to the target that was slow once", again, asked)
	}
}

// A target stays slow. It is asked now and then, and no more often for that.
func TestSlowTargetIsAskedSeldom(t *testing.T) {
	const every, lives = 10 * time.Millisecond, 6
	s := newSet(4, 3)
	random := rand.New(rand.NewPCG(1, 2))
	slow := 0
	for now := time.Duration(0); now < lives*estimateLife; now += every {
		i := s.Acquire(int64(now), random.Uint64(), 0)
		took := 5 * time.Millisecond
		if i == 0 {
			took = 200 * time.Millisecond
			slow++
		}
		s.Targets[i].RecordLatency(took)
		s.Targets[i].Release()
	}
	if slow < lives-1 || slow > 2*lives {
		t.Errorf("a slow target was asked %d times in %d lives of an estimate", slow, lives)
	}
}
