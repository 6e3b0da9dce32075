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

// candidate is an election with its own connection to a shared service.
type candidate struct {
	*lease.Election
	link  *faultkv.Store
	clock *skewedClock
	lost  atomic.Int32
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// skewedClock runs at a multiple of the real rate.
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

func requireHeld(t *testing.T, c *candidate) uint64 {
	t.Helper()
	epoch, ok := c.Held()
	if !ok {
		t.Fatal("does not hold the key")
	}
	return epoch
}

func requireNotHeld(t *testing.T, c *candidate) {
	t.Helper()
	if epoch, ok := c.Held(); ok {
		t.Fatalf("still holds the key with epoch %d", epoch)
	}
}

// advance lets time pass and waits until all goroutines are idle.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestIdleHolderOnlySendsKeepAlives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, memkv.New(memkv.Options{}), "a", 1)
		advance(time.Second)
		before := a.link.Counts()
		advance(time.Minute)
		requireHeld(t, a)
		calls := a.link.Counts().Sub(before)
		if calls.Total() != 20 || calls.Of(faultkv.KindKeepAlive) != 20 {
			t.Errorf("calls in an idle minute: %v, want 20 keep-alives only", calls)
		}
	})
}

// The service no longer has the history since the lease was acquired, so a new
// candidate's watch is reset at once; it must not retry in a tight loop.
func TestCandidateDoesNotPollAfterWatchReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{HistoryEvents: 8})
		a := start(t, kv, "a", 1)
		advance(time.Second)
		at := store.Revision(0)
		for range 20 {
			var err error
			if at, err = kv.Swap(context.Background(), "other", []byte("x"), at, 0); err != nil {
				t.Fatal(err)
			}
		}
		b := start(t, kv, "b", 1)
		advance(time.Minute)
		if calls := b.link.Counts().Total(); calls > 10 {
			t.Errorf("the candidate made %d calls in a minute", calls)
		}
		a.link.SetOutage(true)
		advance(2 * ttl)
		requireHeld(t, b)
	})
}

// A holder that is cut off from the service must stop relying on its lease
// before another candidate can acquire the key.
func TestIsolatedHolderStopsBeforeNextTerm(t *testing.T) {
	for _, rate := range []float64{0.95, 1, 1.05} {
		synctest.Test(t, func(t *testing.T) {
			kv := memkv.New(memkv.Options{})
			a := start(t, kv, "a", rate)
			advance(time.Second)
			b := start(t, kv, "b", 1)
			advance(time.Second)
			first := requireHeld(t, a)
			a.link.SetOutage(true)
			requireNeverBothHold(t, a, b)
			second := requireHeld(t, b)
			if second <= first {
				t.Errorf("epoch went from %d to %d", first, second)
			}
			if a.lost.Load() != 1 {
				t.Errorf("OnLost calls: %d, want 1", a.lost.Load())
			}
		})
	}
}

// The lease runs from when the service processed the call: counting from a late
// response would make the holder rely on it for too long.
func TestLeaseValidityStartsAtRequest(t *testing.T) {
	// The grant is sent at 0 s, the first keep-alive at 3 s.
	answered := map[faultkv.Kind]time.Duration{
		faultkv.KindGrant:     2 * time.Second,
		faultkv.KindKeepAlive: 5 * time.Second,
	}
	for kind, at := range answered {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memkv.New(memkv.Options{})
				a := startWith(t, kv, "a", 1, delayFirstResponse(kind, 2*time.Second))
				advance(at + time.Millisecond)
				requireHeld(t, a)
				a.link.SetOutage(true)
				b := start(t, kv, "b", 1)
				requireNeverBothHold(t, a, b)
				requireHeld(t, b)
			})
		})
	}
}

// delayFirstResponse delays the response to the first call of a kind.
func delayFirstResponse(kind faultkv.Kind, by time.Duration) faultkv.Chooser {
	return faultkv.Script(map[faultkv.Kind][]faultkv.Decision{
		kind: {{DelayAfter: by}},
	})
}

// requireNeverBothHold samples two candidates over twice the lease's TTL.
func requireNeverBothHold(t *testing.T, a, b *candidate) {
	t.Helper()
	for range 200 {
		advance(ttl / 100)
		_, aHolds := a.Held()
		_, bHolds := b.Held()
		if aHolds && bHolds {
			t.Fatal("both hold the key")
		}
	}
}

// The write that acquires the key is lost, is applied late or loses its
// response. The candidate must hold the key once, at that write's revision.
func TestAcquireWithLostResponse(t *testing.T) {
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
				advance(ttl)
				epoch := requireHeld(t, a)
				holder, err := lease.Lookup(t.Context(), kv, key)
				if err != nil {
					t.Fatal(err)
				}
				if holder.Epoch != epoch || string(holder.Value) != "a" {
					t.Errorf("service shows %+v, election holds epoch %d", holder, epoch)
				}
				advance(time.Minute)
				if again := requireHeld(t, a); again != epoch {
					t.Errorf("epoch changed from %d to %d", epoch, again)
				}
				if n := a.link.Counts().Of(faultkv.KindGrant); n != 1 {
					t.Errorf("leases granted: %d, want 1", n)
				}
			})
		})
	}
}

// A write that arrives after its candidate resigned is bound to a revoked lease
// and must not acquire the key.
func TestDelayedWriteAfterResign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		a := start(t, kv, "a", 1)
		a.link.SetChooser(func(call faultkv.Call) faultkv.Decision {
			if call.Kind == faultkv.KindSwap {
				return faultkv.Decision{Fault: faultkv.ApplyLate, LateBy: time.Minute}
			}
			return faultkv.Decision{}
		})
		advance(time.Second)
		if err := a.Resign(t.Context()); err != nil {
			t.Fatal(err)
		}
		a.link.WaitLate()
		if _, err := lease.Lookup(t.Context(), kv, key); err != store.ErrNotFound {
			t.Errorf("delayed write acquired the key: %v", err)
		}
	})
}

func TestResignReleasesKeyImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		a := start(t, kv, "a", 1)
		advance(time.Second)
		b := start(t, kv, "b", 1)
		advance(time.Second)
		requireNotHeld(t, b)
		if err := a.Resign(t.Context()); err != nil {
			t.Fatal(err)
		}
		requireNotHeld(t, a)
		synctest.Wait()
		requireHeld(t, b)
	})
}
