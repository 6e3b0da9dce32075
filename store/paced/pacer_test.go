package paced

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// arrivals counts calls by the 100 ms in which they reach the service.
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

// most returns the most calls in one slot between two times.
func (a *arrivals) most(from, to time.Duration) int {
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

// Story: the service is out for a minute and 60 nodes, each with five callers
// that never give up, want it back. If all of them called at the same moment,
// the service would fall over as soon as it returns.
func TestNodesReturnApart(t *testing.T) {
	const (
		nodes   = 60
		callers = 5
		back    = time.Minute
		end     = 90 * time.Second
		// apart is reached when a fifth of the nodes return in one slot; at
		// random over 5 s it is one in fifty.
		apart = nodes * callers / 5
	)
	synctest.Test(t, func(t *testing.T) {
		seen := newArrivals()
		ctx, cancel := context.WithTimeout(t.Context(), end)
		defer cancel()
		var all sync.WaitGroup
		for range nodes {
			p := newPacer(Options{}.withDefaults())
			for range callers {
				all.Go(func() { callUntilServed(ctx, p, seen, back) })
			}
		}
		all.Wait()
		out := seen.total(20*time.Second, back)
		if limit := nodes * 40; out > limit {
			t.Errorf("%d calls in 40 s of outage, want at most %d", out, limit)
		}
		if most := seen.most(20*time.Second, end); most > apart {
			t.Errorf("%d calls in 100 ms, want at most %d", most, apart)
		}
		if served := seen.total(back, end); served != nodes*callers {
			t.Errorf("%d calls served after the outage, want %d", served, nodes*callers)
		}
		t.Logf("outage: %d calls in 40 s; most in 100 ms: outage %d, after %d",
			out, seen.most(20*time.Second, back), seen.most(back, end))
	})
}

// callUntilServed calls until the service is back at the time given.
func callUntilServed(ctx context.Context, p *pacer, seen *arrivals, back time.Duration) {
	for {
		turn, err := p.wait(ctx, false)
		if err != nil {
			return
		}
		seen.add()
		if time.Since(seen.started) >= back {
			p.succeeded()
			return
		}
		p.failed(turn.round)
	}
}

func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{CallsPerSecond: 10, Burst: 3}.withDefaults())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls := 0
		for calls < 1000 {
			if _, err := p.wait(ctx, false); err != nil {
				break
			}
			calls++
		}
		if want := 3 + 10*10; calls > want || calls < want-2 {
			t.Errorf("%d calls in 10 s, want %d", calls, want)
		}
	})
}

// Calls under way together meet the same fault. Counting each of them would
// make one short fault as costly as a long outage.
func TestCallsFailingTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{}.withDefaults())
		turn, err := p.wait(t.Context(), false)
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			p.failed(turn.round)
		}
		if got := p.bound(); got != DefaultBackoffFirst {
			t.Errorf("next pause is up to %s, want %s", got, DefaultBackoffFirst)
		}
	})
}

// Story: an operator changes many accounts at once through a node that holds
// a lease. Its keep-alive waits behind all these writes, and the node loses
// the lease although node and service are well.
func TestKeepAliveDoesNotQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{CallsPerSecond: 10, Burst: 1}.withDefaults())
		for range 200 {
			go func() { _, _ = p.wait(t.Context(), false) }()
		}
		synctest.Wait()
		began := time.Now()
		if _, err := p.wait(t.Context(), true); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("waited %s behind other calls", waited)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		began = time.Now()
		for range 10 {
			_, _ = p.wait(t.Context(), true)
		}
		_, _ = p.wait(t.Context(), false)
		if waited := time.Since(began); waited < 900*time.Millisecond {
			t.Errorf("ten urgent calls cost the next one %s of waiting, want 1s", waited)
		}
	})
}
