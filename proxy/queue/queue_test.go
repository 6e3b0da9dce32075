package queue

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// slots is a Source with a fixed number of slots and service rate.
type slots struct {
	mu   sync.Mutex
	free int
	rate float64
	last int
}

func (s *slots) Acquire(model.Class) (int, bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return 0, false, 0
	}
	s.free--
	s.last++
	return s.last, true, 0
}

func (s *slots) Release(int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
}

func (s *slots) Rate() float64 { return s.rate }

func (*slots) MinWait() time.Duration { return 0 }

// serve holds a permission for the duration of a request.
func serve(q *Queue[int], s *slots, permission int, duration time.Duration) {
	time.Sleep(duration)
	s.Release(permission)
	q.Wake()
}

// Interactive requests must be served before bulk requests queued earlier.
func TestInteractiveGoesBeforeBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{free: 1, rate: 1000}
		q := New[int](s)
		held, _, _ := q.TryAcquire(model.NonIdempotent)
		deadline := time.Now().Add(time.Hour)
		var order []string
		var mu sync.Mutex
		enter := func(class model.Class, name string) {
			permission, err := q.Acquire(context.Background(), class, deadline)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			order = append(order, name)
			mu.Unlock()
			serve(q, s, permission, time.Second)
		}
		for range 20 {
			go enter(model.Bulk, "upload")
		}
		synctest.Wait()
		go enter(model.NonIdempotent, "order")
		go enter(model.Idempotent, "look-up")
		synctest.Wait()
		serve(q, s, held, 0)
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		if len(order) != 22 || order[0] == "upload" || order[1] == "upload" {
			t.Errorf("served %v", order)
		}
	})
}

// A request whose expected wait exceeds its deadline must be refused on arrival,
// not at the deadline.
func TestLateRequestIsRefusedOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{free: 0, rate: 10}
		q := New[int](s)
		ctx, cancel := context.WithCancel(context.Background())
		for range 10 {
			go func() { _, _ = q.Acquire(ctx, model.Idempotent, time.Now().Add(time.Hour)) }()
		}
		synctest.Wait()
		start := time.Now()
		_, err := q.Acquire(ctx, model.Idempotent, start.Add(900*time.Millisecond))
		if !errors.Is(err, ErrLate) || time.Since(start) != 0 {
			t.Errorf("error %v after %s", err, time.Since(start))
		}
		_, err = q.Acquire(ctx, model.Idempotent, start.Add(1100*time.Millisecond))
		if !errors.Is(err, ErrLate) || time.Since(start) != 1100*time.Millisecond {
			t.Errorf("error %v after %s", err, time.Since(start))
		}
		cancel()
		synctest.Wait()
		if n := q.Waiting(); n != 0 {
			t.Errorf("%d requests still queued", n)
		}
	})
}

// Concurrent waits, cancellations and grants must neither lose a permission nor
// grant it twice.
func TestNoPermissionIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 3
		s := &slots{free: total, rate: 1e9}
		q := New[int](s)
		var done sync.WaitGroup
		for i := range 500 {
			done.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%17)*time.Millisecond)
				defer cancel()
				deadline := time.Now().Add(time.Duration(i%13) * time.Millisecond)
				permission, err := q.Acquire(ctx, model.Class(i%model.ClassCount), deadline)
				if err == nil {
					serve(q, s, permission, time.Duration(i%3)*time.Millisecond)
				}
			})
		}
		done.Wait()
		if s.free != total || q.Waiting() != 0 {
			t.Errorf("%d slots free of %d, %d waiting", s.free, total, q.Waiting())
		}
	})
}

// lateSlot has no permission at the first call and one from then on without
// calling Wake, as if it became free just before the request was queued.
type lateSlot struct{ asked bool }

func (s *lateSlot) Acquire(model.Class) (int, bool, time.Duration) {
	if !s.asked {
		s.asked = true
		return 0, false, 0
	}
	return 1, true, 0
}

func (*lateSlot) Release(int)   {}
func (*lateSlot) Rate() float64 { return 1 }

func (*lateSlot) MinWait() time.Duration { return 0 }

// A slot that becomes free between a request's attempt and its queueing must
// not be a lost wake-up.
func TestNoLostWakeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New[int](&lateSlot{})
		if _, err := q.Acquire(context.Background(), model.Idempotent, time.Now().Add(time.Hour)); err != nil {
			t.Error(err)
		}
	})
}

// A permission granted to a request that gives up concurrently must be returned.
func TestPermissionOfAbandonedWaiterIsReturned(t *testing.T) {
	s := &slots{free: 0, rate: 1}
	q := New[int](s)
	w, err := q.enqueue(model.Idempotent, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	s.Release(0)
	q.Wake()
	if _, err := q.abandon(w, ErrLate); !errors.Is(err, ErrLate) {
		t.Fatal(err)
	}
	if s.free != 1 {
		t.Fatal("the permission was lost")
	}
}

// When the service rate drops, queued requests that can no longer be served in
// time must be refused at once, and only those.
func TestQueuedRequestsAreRefusedWhenTheRateDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{rate: 100}
		q := New[int](s)
		start := time.Now()
		refused := make(map[time.Duration]int)
		var mu sync.Mutex
		for range 20 {
			go func() {
				_, err := q.Acquire(context.Background(), model.Idempotent, start.Add(time.Minute))
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, ErrLate) {
					refused[time.Since(start)]++
				}
			}()
		}
		synctest.Wait()
		for _, step := range []struct {
			rate    float64
			waiting int
		}{{1, 20}, {0.1, 6}, {0, 0}} {
			time.Sleep(time.Second)
			s.rate = step.rate
			q.RefuseLate()
			synctest.Wait()
			if n := q.Waiting(); n != step.waiting {
				t.Errorf("%d requests queued at a rate of %g per second, want %d", n, step.rate, step.waiting)
			}
		}
		if refused[2*time.Second] != 14 || refused[3*time.Second] != 6 {
			t.Errorf("refused at %v", refused)
		}
	})
}
