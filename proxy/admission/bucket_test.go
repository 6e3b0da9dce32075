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

// takeAll admits as many requests as the bucket gives at once.
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

// permits is the oracle: what a limit gives between two times.
func permits(l Limit, from, to time.Time) float64 {
	total := l.Floor.RPS() * to.Sub(from).Seconds()
	end := min(to.UnixNano(), l.Expires.UnixNano())
	if overlap := end - from.UnixNano(); overlap > 0 {
		total += l.Surplus.RPS() * time.Duration(overlap).Seconds()
	}
	return total
}

// In any window, whatever limits come and go and however the process pauses,
// no more is admitted than the limits in force permit and one burst.
func TestNoWindowPassesTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := NewBucket(now)
		in := Limit{}
		// permitted and admitted count from the beginning of the window, which
		// begins anew at random.
		permitted, admitted, highest := 0.0, 0, 0.0
		for range 200 {
			step := time.Duration(rapid.Int64Range(0, int64(60*time.Millisecond)).Draw(t, "step"))
			permitted += permits(in, now, now.Add(step))
			now = now.Add(step)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				expires := now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Second)).Draw(t, "expires")))
				in = limit(rapid.Float64Range(0, 200).Draw(t, "floor"), rapid.Float64Range(0, 200).Draw(t, "surplus"), expires)
				b.SetLimit(in, now)
			case 1:
				permitted, admitted, highest = 0, 0, 0
			}
			highest = max(highest, (in.Floor + in.Surplus).RPS())
			if highest == 0 {
				highest = in.RPS(now)
			}
			admitted += takeAll(b, now)
			// The burst saved before the window counts at the rate that was in
			// force then, which is at most what a lower limit left of it.
			if bound := permitted + Burst(highest) + 1e-6; float64(admitted) > bound {
				t.Fatalf("%d admitted, at most %.2f permitted", admitted, bound)
			}
		}
	})
}

// A process is paused past the end of its surplus and resumes. It must not send
// what it had saved up at the higher rate.
func TestPausedProcessKeepsOnlyItsFloor(t *testing.T) {
	start := time.Unix(1000, 0)
	b := NewBucket(start)
	b.SetLimit(limit(10, 990, start.Add(time.Second)), start)
	now := start.Add(900 * time.Millisecond)
	if n := takeAll(b, now); n != 50 {
		t.Fatalf("%d admitted at once at 1000 a second, want 50", n)
	}
	now = start.Add(time.Minute)
	if n := takeAll(b, now); n != 1 {
		t.Fatalf("%d admitted after the pause, want 1", n)
	}
}

// The grant is lowered in the same instant in which tokens of the old one are
// there. They must not be spent afterwards.
func TestLoweredGrantCutsTheBurst(t *testing.T) {
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

// The time to wait that callers are told is enough.
func TestWaitIsEnough(t *testing.T) {
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

// Work of low priority leaves half of the burst to the rest.
func TestLowPriorityLeavesAReserve(t *testing.T) {
	start := time.Unix(1000, 0)
	b := NewBucket(start)
	b.SetLimit(limit(1000, 0, start), start)
	now := start.Add(time.Second)
	low := 0
	for ok := true; ok; low++ {
		ok, _ = b.TakeLowPriority(now)
	}
	if rest := takeAll(b, now); rest < 24 || low > 27 {
		t.Fatalf("%d of low priority admitted, %d left to the rest", low-1, rest)
	}
}

// Several goroutines share a bucket for a minute: they get the rate, no more
// and no less.
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
			t.Errorf("%d admitted in a minute at 100 a second", n)
		}
	})
}

// Story: an entry VM's process is paused for a minute. Its floors are given to
// others meanwhile. The first orders after the pause are admitted before any
// timer of the process has run, and the place gets more than it carries.
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
