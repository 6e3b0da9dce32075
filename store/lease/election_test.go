package lease_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/lease"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

const (
	key = "decider/daehan"
	ttl = 9 * time.Second
)

// candidate is one election with its own connection to a shared service.
type candidate struct {
	*lease.Election
	link  *faultkv.Store
	clock *skewedClock
	lost  atomic.Int32
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// skewedClock runs at a rate other than true time.
type skewedClock struct {
	start time.Time
	rate  float64
}

func (c *skewedClock) Now() time.Time {
	passed := float64(time.Since(c.start)) * c.rate
	return c.start.Add(time.Duration(passed))
}

func start(t *testing.T, kv store.KV, value string, rate float64) *candidate {
	t.Helper()
	return startWith(t, kv, value, rate, nil)
}

func startWith(t *testing.T, kv store.KV, value string, rate float64, choose faultkv.Chooser) *candidate {
	t.Helper()
	c := &candidate{
		link:  faultkv.New(kv, choose),
		clock: &skewedClock{start: time.Now(), rate: rate},
	}
	e, err := lease.New(lease.Options{
		KV: c.link, Key: key, Value: []byte(value), TTL: ttl, Clock: c.clock,
		OnLost: func(uint64) { c.lost.Add(1) },
	})
	if err != nil {
		t.Fatal(err)
	}
	c.Election = e
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.done.Go(func() { _ = e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		c.done.Wait()
		c.link.WaitLate()
	})
	return c
}

func mustHold(t *testing.T, c *candidate) uint64 {
	t.Helper()
	epoch, ok := c.Held()
	if !ok {
		t.Fatal("does not hold the key")
	}
	return epoch
}

func mustNotHold(t *testing.T, c *candidate) {
	t.Helper()
	if epoch, ok := c.Held(); ok {
		t.Fatalf("still holds the key with epoch %d", epoch)
	}
}

// settle lets the time pass and all goroutines finish what it set off.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestIdleHolderCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, memkv.New(memkv.Options{}), "a", 1)
		settle(time.Second)
		before := a.link.Counts()
		settle(time.Minute)
		mustHold(t, a)
		calls := a.link.Counts().Sub(before)
		if calls.Total() != 20 || calls.Of(faultkv.KindKeepAlive) != 20 {
			t.Errorf("calls in an idle minute: %v, want 20 keep-alives only", calls)
		}
	})
}

// Story: a node has decided for an account for hours, and thousands of changes were
// made meanwhile, so that the service no longer has those since the lease was
// taken. A VM starts and is the next candidate. It asked the service without a
// pause, as its watch was refused at once, and slowed all other callers of it.
func TestCandidateOfAnOldLeaseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{HistoryEvents: 8})
		a := start(t, kv, "a", 1)
		settle(time.Second)
		at := store.Revision(0)
		for range 20 {
			var err error
			if at, err = kv.Swap(context.Background(), "other", []byte("x"), at, 0); err != nil {
				t.Fatal(err)
			}
		}
		b := start(t, kv, "b", 1)
		settle(time.Minute)
		if calls := b.link.Counts().Total(); calls > 10 {
			t.Errorf("the candidate made %d calls in a minute", calls)
		}
		a.link.SetOutage(true)
		settle(2 * ttl)
		mustHold(t, b)
	})
}

// Story: two nodes want to decide for one account. The holder is cut off from
// the service. The service lets the lease lapse and the other node wins. The
// first must not believe in its lease at any time at which the other does.
func TestHolderCutOffStopsBeforeNextWins(t *testing.T) {
	for _, rate := range []float64{0.95, 1, 1.05} {
		synctest.Test(t, func(t *testing.T) {
			kv := memkv.New(memkv.Options{})
			a := start(t, kv, "a", rate)
			settle(time.Second)
			b := start(t, kv, "b", 1)
			settle(time.Second)
			first := mustHold(t, a)
			a.link.SetOutage(true)
			neverBoth(t, a, b)
			second := mustHold(t, b)
			if second <= first {
				t.Errorf("epoch went from %d to %d", first, second)
			}
			if a.lost.Load() != 1 {
				t.Errorf("OnLost calls: %d, want 1", a.lost.Load())
			}
		})
	}
}

// Story: the service is slow, and answers a grant or a keep-alive 2 s late.
// Counting the lease from the answer would make the holder trust it 2 s too
// long: the service counts from when it saw the call.
func TestLeaseCountsFromBeforeTheCall(t *testing.T) {
	// A grant is sent at 0 s, the first keep-alive at 3 s.
	answered := map[faultkv.Kind]time.Duration{
		faultkv.KindGrant:     2 * time.Second,
		faultkv.KindKeepAlive: 5 * time.Second,
	}
	for kind, at := range answered {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memkv.New(memkv.Options{})
				a := startWith(t, kv, "a", 1, slow(kind, 2*time.Second))
				settle(at + time.Millisecond)
				mustHold(t, a)
				a.link.SetOutage(true)
				b := start(t, kv, "b", 1)
				neverBoth(t, a, b)
				mustHold(t, b)
			})
		})
	}
}

// slow delays the answers to the first call of a kind.
func slow(kind faultkv.Kind, by time.Duration) faultkv.Chooser {
	return faultkv.Script(map[faultkv.Kind][]faultkv.Decision{
		kind: {{DelayAfter: by}},
	})
}

// neverBoth looks at two candidates for twice the lease's time to live.
func neverBoth(t *testing.T, a, b *candidate) {
	t.Helper()
	for range 200 {
		settle(ttl / 100)
		_, aHolds := a.Held()
		_, bHolds := b.Held()
		if aHolds && bHolds {
			t.Fatal("both hold the key")
		}
	}
}

// Story: the write that takes the key is applied but its answer is lost, or
// arrives only after the caller has read that the key is still free. The
// candidate must come to know that it holds the key, with that write's
// revision, and must hold it once.
func TestLostAnswerOfWinningWrite(t *testing.T) {
	cases := map[string]faultkv.Decision{
		"applied":      {Fault: faultkv.LoseAnswer},
		"applied late": {Fault: faultkv.ApplyLate, LateBy: time.Second},
		"dropped":      {Fault: faultkv.Drop},
	}
	for name, decision := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memkv.New(memkv.Options{})
				a := start(t, kv, "a", 1)
				a.link.SetChooser(faultkv.Script(map[faultkv.Kind][]faultkv.Decision{
					faultkv.KindSwap: {decision},
				}))
				settle(ttl)
				epoch := mustHold(t, a)
				holder, err := lease.Lookup(t.Context(), kv, key)
				if err != nil {
					t.Fatal(err)
				}
				if holder.Epoch != epoch || string(holder.Value) != "a" {
					t.Errorf("service shows %+v, election holds epoch %d", holder, epoch)
				}
				settle(time.Minute)
				if again := mustHold(t, a); again != epoch {
					t.Errorf("epoch changed from %d to %d", epoch, again)
				}
				if n := a.link.Counts().Of(faultkv.KindGrant); n != 1 {
					t.Errorf("leases made: %d, want 1", n)
				}
			})
		})
	}
}

// Story: a candidate gives up after its write was lost on the way, and another
// wins and resigns. The first one's write arrives then. It is bound to a lease
// that was revoked, so it must not take the key for a candidate that is gone.
func TestLateWriteOfResignedCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		a := start(t, kv, "a", 1)
		a.link.SetChooser(func(call faultkv.Call) faultkv.Decision {
			if call.Kind == faultkv.KindSwap {
				return faultkv.Decision{Fault: faultkv.ApplyLate, LateBy: time.Minute}
			}
			return faultkv.Decision{}
		})
		settle(time.Second)
		if err := a.Resign(t.Context()); err != nil {
			t.Fatal(err)
		}
		a.link.WaitLate()
		if _, err := lease.Lookup(t.Context(), kv, key); err != store.ErrNotFound {
			t.Errorf("late write took the key: %v", err)
		}
	})
}

func TestResignFreesTheKeyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		a := start(t, kv, "a", 1)
		settle(time.Second)
		b := start(t, kv, "b", 1)
		settle(time.Second)
		mustNotHold(t, b)
		if err := a.Resign(t.Context()); err != nil {
			t.Fatal(err)
		}
		mustNotHold(t, a)
		synctest.Wait()
		mustHold(t, b)
	})
}
