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

// slots is a Source with a fixed number of slots and a known pace.
type slots struct {
	mu   sync.Mutex
	free int
	pace float64
	out  int
}

func (s *slots) Acquire(model.Class) (int, bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return 0, false, 0
	}
	s.free--
	s.out++
	return s.out, true, 0
}

func (s *slots) Release(int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
}

func (s *slots) Rate() float64 { return s.pace }

func (*slots) MinWait() time.Duration { return 0 }

// serve holds a permission for the time a request takes.
func serve(l *Queue[int], s *slots, permission int, took time.Duration) {
	time.Sleep(took)
	s.Release(permission)
	l.Wake()
}

// Uploads wait in great number when an order comes. It goes before all of them.
func TestBulkNeverHoldsAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{free: 1, pace: 1000}
		l := New[int](s)
		held, _, _ := l.TryAcquire(model.NonIdempotent)
		late := time.Now().Add(time.Hour)
		var order []string
		var mu sync.Mutex
		enter := func(class model.Class, name string) {
			permission, err := l.Acquire(context.Background(), class, late)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			order = append(order, name)
			mu.Unlock()
			serve(l, s, permission, time.Second)
		}
		for range 20 {
			go enter(model.Bulk, "upload")
		}
		synctest.Wait()
		go enter(model.NonIdempotent, "order")
		go enter(model.Idempotent, "look-up")
		synctest.Wait()
		serve(l, s, held, 0)
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		if len(order) != 22 || order[0] == "upload" || order[1] == "upload" {
			t.Errorf("served %v", order)
		}
	})
}

// The line is too long for a request's deadline. It is refused when it comes,
// while its caller can still go elsewhere, and not when it is too late.
func TestLateRequestIsRefusedWhenItComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{free: 0, pace: 10}
		l := New[int](s)
		ctx, cancel := context.WithCancel(context.Background())
		for range 10 {
			go func() { _, _ = l.Acquire(ctx, model.Idempotent, time.Now().Add(time.Hour)) }()
		}
		synctest.Wait()
		came := time.Now()
		_, err := l.Acquire(ctx, model.Idempotent, came.Add(900*time.Millisecond))
		if !errors.Is(err, ErrLate) || time.Since(came) != 0 {
			t.Errorf("error %v after %s", err, time.Since(came))
		}
		_, err = l.Acquire(ctx, model.Idempotent, came.Add(1100*time.Millisecond))
		if !errors.Is(err, ErrLate) || time.Since(came) != 1100*time.Millisecond {
			t.Errorf("error %v after %s", err, time.Since(came))
		}
		cancel()
		synctest.Wait()
		if n := l.Waiting(); n != 0 {
			t.Errorf("%d still wait", n)
		}
	})
}

// Requests come, wait, give up and are served in every order. No permission is
// lost and none is used twice: at the end all slots are free again.
func TestNoPermissionIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const all = 3
		s := &slots{free: all, pace: 1e9}
		l := New[int](s)
		var done sync.WaitGroup
		for i := range 500 {
			done.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%17)*time.Millisecond)
				defer cancel()
				leaveBy := time.Now().Add(time.Duration(i%13) * time.Millisecond)
				permission, err := l.Acquire(ctx, model.Class(i%model.ClassCount), leaveBy)
				if err == nil {
					serve(l, s, permission, time.Duration(i%3)*time.Millisecond)
				}
			})
		}
		done.Wait()
		if s.free != all || l.Waiting() != 0 {
			t.Errorf("%d slots free of %d, %d waiting", s.free, all, l.Waiting())
		}
	})
}

// lateSlot has no permission at the first call and one from then on, without
// waking the line: it became free just before the request began to wait.
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

// A slot becomes free between a request's question and its wait. The request
// must not wait for a wake-up that has passed.
func TestNoLostWakeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New[int](&lateSlot{})
		if _, err := l.Acquire(context.Background(), model.Idempotent, time.Now().Add(time.Hour)); err != nil {
			t.Error(err)
		}
	})
}

// A request gives up in the moment in which it is served. What it got must go to
// the next one.
func TestPermissionOfAWaiterThatLeftIsPassedOn(t *testing.T) {
	s := &slots{free: 0, pace: 1}
	l := New[int](s)
	w, err := l.join(model.Idempotent, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	s.Release(0)
	l.Wake()
	if _, err := l.leave(w, ErrLate); !errors.Is(err, ErrLate) {
		t.Fatal(err)
	}
	if s.free != 1 {
		t.Fatal("the permission is lost")
	}
}

// What requests wait for is taken away: a grant ends, or all targets leave.
// Those that cannot be served any more are told so at once, although their
// deadlines are far, and those that still can go on waiting.
func TestWaitingRequestsAreRefusedWhenThePaceFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{pace: 100}
		l := New[int](s)
		came := time.Now()
		refused := make(map[time.Duration]int)
		var mu sync.Mutex
		for range 20 {
			go func() {
				_, err := l.Acquire(context.Background(), model.Idempotent, came.Add(time.Minute))
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, ErrLate) {
					refused[time.Since(came)]++
				}
			}()
		}
		synctest.Wait()
		for _, step := range []struct {
			pace float64
			left int
		}{{1, 20}, {0.1, 6}, {0, 0}} {
			time.Sleep(time.Second)
			s.pace = step.pace
			l.RefuseLate()
			synctest.Wait()
			if n := l.Waiting(); n != step.left {
				t.Errorf("%d wait at a pace of %g a second, want %d", n, step.pace, step.left)
			}
		}
		if refused[2*time.Second] != 14 || refused[3*time.Second] != 6 {
			t.Errorf("refused at %v", refused)
		}
	})
}
