package paced

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// arrivals counts the calls that reach the service in each slot of 100 ms.
type arrivals struct {
	mu      sync.Mutex
	started time.Time
	slots   map[time.Duration]int
}

const slot = 100 * time.Millisecond

func newArrivals() *arrivals {
	return &arrivals{started: time.Now(), slots: map[time.Duration]int{}}
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots[time.Since(a.started)/slot]++
}

// maxPerSlot returns the highest count of a slot between two times.
func (a *arrivals) maxPerSlot(from, to time.Duration) int {
	most := 0
	for i := from / slot; i < to/slot; i++ {
		most = max(most, a.slots[i])
	}
	return most
}

func (a *arrivals) total(from, to time.Duration) int {
	total := 0
	for i := from / slot; i < to/slot; i++ {
		total += a.slots[i]
	}
	return total
}

// Clients that retry throughout an outage must not all call at the same time when
// the service returns, which would overload it again.
func TestClientsSpreadRetriesAfterOutage(t *testing.T) {
	const (
		nodes     = 60
		callers   = 5
		outageEnd = time.Minute
		end       = 90 * time.Second
		// maxCalls allows a fifth of the callers in one slot.
		maxCalls = nodes * callers / 5
	)
	synctest.Test(t, func(t *testing.T) {
		seen := newArrivals()
		ctx, cancel := context.WithTimeout(t.Context(), end)
		defer cancel()
		var all sync.WaitGroup
		for range nodes {
			p := newPacer(Options{}.withDefaults())
			for range callers {
				all.Go(func() { callUntilServed(ctx, p, seen, outageEnd) })
			}
		}
		all.Wait()
		out := seen.total(20*time.Second, outageEnd)
		if limit := nodes * 40; out > limit {
			t.Errorf("%d calls in 40 s of outage, want at most %d", out, limit)
		}
		if most := seen.maxPerSlot(20*time.Second, end); most > maxCalls {
			t.Errorf("%d calls in 100 ms, want at most %d", most, maxCalls)
		}
		if served := seen.total(outageEnd, end); served != nodes*callers {
			t.Errorf("%d calls served after the outage, want %d", served, nodes*callers)
		}
		t.Logf("outage: %d calls in 40 s; most in 100 ms: outage %d, after %d",
			out, seen.maxPerSlot(20*time.Second, outageEnd), seen.maxPerSlot(outageEnd, end))
	})
}

// callUntilServed retries until a call succeeds; calls fail until outageEnd.
func callUntilServed(ctx context.Context, p *pacer, seen *arrivals, outageEnd time.Duration) {
	for {
		permit, err := p.acquire(ctx, false)
		if err != nil {
			return
		}
		seen.add()
		if time.Since(seen.started) >= outageEnd {
			p.recordSuccess()
			return
		}
		p.recordFailure(permit.round)
	}
}

func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{CallsPerSecond: 10, Burst: 3}.withDefaults())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls := 0
		for calls < 1000 {
			if _, err := p.acquire(ctx, false); err != nil {
				break
			}
			calls++
		}
		if want := 3 + 10*10; calls > want || calls < want-2 {
			t.Errorf("%d calls in 10 s, want %d", calls, want)
		}
	})
}

// Concurrent calls that meet the same fault must count as one failure, or a short
// fault would cause the backoff of a long outage.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{}.withDefaults())
		permit, err := p.acquire(t.Context(), false)
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			p.recordFailure(permit.round)
		}
		if got := p.maxPause(); got != DefaultBackoffFirst {
			t.Errorf("next pause is up to %s, want %s", got, DefaultBackoffFirst)
		}
	})
}

// A keep-alive queued behind many other calls would cost a healthy holder its
// lease.
func TestUrgentCallDoesNotQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{CallsPerSecond: 10, Burst: 1}.withDefaults())
		for range 200 {
			go func() { _, _ = p.acquire(t.Context(), false) }()
		}
		synctest.Wait()
		began := time.Now()
		if _, err := p.acquire(t.Context(), true); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("waited %s behind other calls", waited)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		began = time.Now()
		for range 10 {
			_, _ = p.acquire(t.Context(), true)
		}
		_, _ = p.acquire(t.Context(), false)
		if waited := time.Since(began); waited < 900*time.Millisecond {
			t.Errorf("ten urgent calls cost the next one %s of waiting, want 1s", waited)
		}
	})
}
