package admission

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

func limit(floor, surplus float64, expires time.Time) Limit {
	return Limit{
		Floor:   grant.Amount(floor * float64(grant.PerRequest)),
		Surplus: grant.Amount(surplus * float64(grant.PerRequest)),
		Expires: expires,
	}
}

// takeAll takes requests until the bucket refuses one and returns their number.
func takeAll(b *Bucket, now time.Time) int {
	n := 0
	for {
		ok, _ := b.Take(now)
		if !ok {
			return n
		}
		n++
	}
}

// permits computes independently how many requests a limit permits between two
// times.
func permits(l Limit, from, to time.Time) float64 {
	total := l.Floor.RPS() * to.Sub(from).Seconds()
	end := min(to.UnixNano(), l.Expires.UnixNano())
	if overlap := end - from.UnixNano(); overlap > 0 {
		total += l.Surplus.RPS() * time.Duration(overlap).Seconds()
	}
	return total
}

// In any window, at most the requests permitted by the limits in force plus one
// burst may be admitted, regardless of limit changes and pauses.
func TestNoWindowExceedsTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := NewBucket(now)
		current := Limit{}
		// permitted and admitted count from the start of the window, which is
		// reset at random.
		permitted, admitted, highest := 0.0, 0, 0.0
		for range 200 {
			step := time.Duration(rapid.Int64Range(0, int64(60*time.Millisecond)).Draw(t, "step"))
			permitted += permits(current, now, now.Add(step))
			now = now.Add(step)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				expires := now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Second)).Draw(t, "expires")))
				current = limit(rapid.Float64Range(0, 200).Draw(t, "floor"), rapid.Float64Range(0, 200).Draw(t, "surplus"), expires)
				b.SetLimit(current, now)
			case 1:
				permitted, admitted, highest = 0, 0, 0
			}
			highest = max(highest, (current.Floor + current.Surplus).RPS())
			if highest == 0 {
				highest = current.RPS(now)
			}
			admitted += takeAll(b, now)
			// The burst saved before the window is bounded by the highest rate
			// since, as a lower limit reduces it.
			if bound := permitted + Burst(highest) + 1e-6; float64(admitted) > bound {
				t.Fatalf("%d admitted, at most %.2f permitted", admitted, bound)
			}
		}
	})
}

// A process paused past the expiry of its surplus must not spend tokens saved at
// the higher rate.
func TestPausedProcessKeepsOnlyItsFloor(t *testing.T) {
	start := time.Unix(1000, 0)
	b := NewBucket(start)
	b.SetLimit(limit(10, 990, start.Add(time.Second)), start)
	now := start.Add(900 * time.Millisecond)
	if n := takeAll(b, now); n != 50 {
		t.Fatalf("%d admitted at once at 1000 per second, want 50", n)
	}
	now = start.Add(time.Minute)
	if n := takeAll(b, now); n != 1 {
		t.Fatalf("%d admitted after the pause, want 1", n)
	}
}

// Tokens saved under a higher grant must not be spent after it is lowered.
func TestLoweredGrantReducesTheBurst(t *testing.T) {
	start := time.Unix(1000, 0)
	b := NewBucket(start)
	b.SetLimit(limit(1000, 0, start), start)
	now := start.Add(time.Second)
	if ok, _ := b.Take(now); !ok {
		t.Fatal("nothing admitted")
	}
	b.SetLimit(limit(20, 0, now), now)
	if n := takeAll(b, now); n != 1 {
		t.Fatalf("%d admitted, want 1", n)
	}
	b.SetLimit(limit(0, 0, now), now)
	if n := takeAll(b, now.Add(time.Hour)); n != 0 {
		t.Fatalf("%d admitted without a grant", n)
	}
}

// A request must be admitted after the returned wait.
func TestWaitIsSufficient(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBucket(now)
	b.SetLimit(limit(7, 0, now), now)
	for range 100 {
		ok, wait := b.Take(now)
		if ok {
			continue
		}
		now = now.Add(wait)
		if ok, _ := b.Take(now); !ok {
			t.Fatalf("nothing admitted after %s", wait)
		}
	}
}

// Low-priority requests must leave half of the burst to others.
func TestLowPriorityLeavesAReserve(t *testing.T) {
	start := time.Unix(1000, 0)
	b := NewBucket(start)
	b.SetLimit(limit(1000, 0, start), start)
	now := start.Add(time.Second)
	low := 0
	for ok := true; ok; low++ {
		ok, _ = b.TakeLowPriority(now)
	}
	if remaining := takeAll(b, now); remaining < 24 || low > 27 {
		t.Fatalf("%d low-priority requests admitted, %d left to others", low-1, remaining)
	}
}

// Concurrent goroutines that share a bucket must together get its rate.
func TestConcurrentUseGivesTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBucket(time.Now())
		b.SetLimit(limit(100, 0, time.Now()), time.Now())
		end := time.Now().Add(time.Minute)
		var admitted atomic.Int64
		var done sync.WaitGroup
		for range 8 {
			done.Go(func() {
				for time.Now().Before(end) {
					ok, wait := b.Take(time.Now())
					if ok {
						admitted.Add(1)
						continue
					}
					time.Sleep(wait)
				}
			})
		}
		done.Wait()
		if n := admitted.Load(); n < 5950 || n > 6005 {
			t.Errorf("%d admitted in a minute at 100 per second", n)
		}
	})
}

// After a long pause the floors may belong to other nodes: no request may be
// admitted, even before any timer of the process has run.
func TestPausedProcessAdmitsNothing(t *testing.T) {
	const pauseLimit = 30 * time.Second
	start := time.Unix(1000, 0)
	alive := grant.NewLiveness(pauseLimit)
	alive.Touch(start)
	l := limit(100, 0, start)
	l.Alive = alive
	b := NewBucket(start)
	b.SetLimit(l, start)
	if n := takeAll(b, start.Add(time.Second)); n == 0 {
		t.Fatal("a live process admits nothing")
	}
	if n := takeAll(b, start.Add(time.Minute)); n != 0 {
		t.Fatalf("%d requests were admitted after the pause", n)
	}
}
