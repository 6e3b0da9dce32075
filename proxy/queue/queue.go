// Package queue holds requests that wait for a slot at a target or for the
// node's grant. A request whose expected wait exceeds its deadline is refused
// on arrival, while its caller can still go elsewhere.
package queue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// ErrLate reports that the request cannot be served before its deadline.
var ErrLate = errors.New("queue: the deadline cannot be met")

// maxWait bounds the estimated time per request; it is also the expected wait while
// the service rate is zero.
const maxWait = time.Hour

// Source issues the permissions that queued requests wait for.
type Source[T any] interface {
	// Acquire takes a permission for one request of the class. If none is
	// free it returns false and the time until the next attempt; 0 means that
	// Wake will be called.
	Acquire(class model.Class) (permission T, ok bool, wait time.Duration)
	// Release returns an unused permission.
	Release(permission T)
	// Rate returns the current service rate of the queue in requests per
	// second; 0 if no permissions are expected.
	Rate() float64
	// MinWait returns the minimum wait of the request at the head of the queue.
	MinWait() time.Duration
}

// Queue is the queue of one service in one place. Interactive requests are
// served before bulk requests, each kind in order of arrival.
type Queue[T any] struct {
	source  Source[T]
	waiting atomic.Int32

	mu          sync.Mutex
	interactive []*waiter[T]
	bulk        []*waiter[T]
	timer       *time.Timer
}

type waiter[T any] struct {
	class    model.Class
	deadline time.Time
	// granted has a buffer of one, so that sending never blocks.
	granted chan T
	// refused is closed when the request is refused before its deadline.
	refused chan struct{}
}

// New returns an empty queue.
func New[T any](source Source[T]) *Queue[T] {
	return &Queue[T]{source: source}
}

// Waiting returns the number of queued requests.
func (q *Queue[T]) Waiting() int { return int(q.waiting.Load()) }

// TryAcquire takes a permission if the queue is empty and one is free.
// Otherwise it returns the wait that the source asks for.
func (q *Queue[T]) TryAcquire(class model.Class) (permission T, ok bool, wait time.Duration) {
	if q.waiting.Load() > 0 {
		return permission, false, 0
	}
	return q.source.Acquire(class)
}

// Acquire waits for a permission until the deadline. It returns ErrLate as soon
// as the expected wait exceeds the deadline, and the context's error if the
// context ends first.
func (q *Queue[T]) Acquire(ctx context.Context, class model.Class, deadline time.Time) (T, error) {
	permission, ok, _ := q.TryAcquire(class)
	if ok {
		return permission, nil
	}
	w, err := q.enqueue(class, deadline)
	if err != nil {
		return permission, err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case permission = <-w.granted:
		return permission, nil
	case <-w.refused:
		return permission, ErrLate
	case <-timer.C:
		return q.abandon(w, ErrLate)
	case <-ctx.Done():
		return q.abandon(w, ctx.Err())
	}
}

// Expected returns the expected wait of a new request of the class.
func (q *Queue[T]) Expected(class model.Class) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expected(class)
}

// RefuseLate refuses the queued requests that can no longer be served in time.
// It must be called when the service rate may have dropped; otherwise these
// requests are held until their deadlines.
func (q *Queue[T]) RefuseLate() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve()
	first, each := q.estimate()
	now := time.Now()
	q.interactive = q.dropLate(q.interactive, now.Add(first), each)
	first += time.Duration(len(q.interactive)) * each
	q.bulk = q.dropLate(q.bulk, now.Add(first), each)
}

// Wake serves queued requests as far as the source permits. It must be called
// whenever a permission becomes free.
func (q *Queue[T]) Wake() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve()
}

func (q *Queue[T]) enqueue(class model.Class, deadline time.Time) (*waiter[T], error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if time.Now().Add(q.expected(class)).After(deadline) {
		return nil, ErrLate
	}
	w := &waiter[T]{class: class, deadline: deadline, granted: make(chan T, 1), refused: make(chan struct{})}
	q.waiting.Add(1)
	if class == model.Bulk {
		q.bulk = append(q.bulk, w)
	} else {
		q.interactive = append(q.interactive, w)
	}
	// A permission that became free before waiting was incremented did not
	// call serve, so try again.
	q.serve()
	return w, nil
}

// abandon removes the waiter. If a permission was granted concurrently, it is
// returned and offered to the next waiter.
func (q *Queue[T]) abandon(w *waiter[T], cause error) (none T, err error) {
	q.mu.Lock()
	q.remove(w)
	q.mu.Unlock()
	select {
	case permission := <-w.granted:
		q.source.Release(permission)
		q.Wake()
	default:
	}
	return none, cause
}

func (q *Queue[T]) remove(w *waiter[T]) {
	list := &q.interactive
	if w.class == model.Bulk {
		list = &q.bulk
	}
	for i, other := range *list {
		if other == w {
			*list = append((*list)[:i], (*list)[i+1:]...)
			q.waiting.Add(-1)
			return
		}
	}
}

func (q *Queue[T]) expected(class model.Class) time.Duration {
	first, each := q.estimate()
	ahead := len(q.interactive)
	if class == model.Bulk {
		ahead += len(q.bulk)
	}
	return first + time.Duration(ahead)*each
}

// estimate returns the expected wait of the head of the queue and the
// additional wait of each request behind it.
func (q *Queue[T]) estimate() (first, each time.Duration) {
	rate := q.source.Rate()
	if rate <= 0 {
		return maxWait, 0
	}
	return q.source.MinWait(), time.Duration(min(1/rate, maxWait.Seconds()) * float64(time.Second))
}

// dropLate refuses the waiters of a list that will not be served by their
// deadlines. The first one is served at the given time, each further one later
// by each.
func (q *Queue[T]) dropLate(list []*waiter[T], served time.Time, each time.Duration) []*waiter[T] {
	remaining := list[:0]
	for _, w := range list {
		if served.After(w.deadline) {
			q.waiting.Add(-1)
			close(w.refused)
			continue
		}
		served = served.Add(each)
		remaining = append(remaining, w)
	}
	clear(list[len(remaining):])
	return remaining
}

// serve must be called with mu held.
func (q *Queue[T]) serve() {
	if q.serveList(&q.interactive) {
		q.serveList(&q.bulk)
	}
}

// serveList reports whether every waiter of the list was served.
func (q *Queue[T]) serveList(list *[]*waiter[T]) bool {
	for len(*list) > 0 {
		w := (*list)[0]
		permission, ok, wait := q.source.Acquire(w.class)
		if !ok {
			q.wakeAfter(wait)
			return false
		}
		(*list)[0] = nil
		*list = (*list)[1:]
		q.waiting.Add(-1)
		w.granted <- permission
	}
	return true
}

func (q *Queue[T]) wakeAfter(wait time.Duration) {
	if wait <= 0 {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timer = time.AfterFunc(wait, q.Wake)
}
