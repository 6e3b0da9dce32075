// Package queue holds requests that wait for a slot at a target or for the
// node's grant. A wait is bounded by the deadline of the request: one that
// cannot be served in time is refused when it comes, not when it is too late.
package queue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// ErrLate tells that the request could not be served before its deadline.
var ErrLate = errors.New("queue: the deadline cannot be met")

// never is the wait reported while nothing is known to come.
const never = time.Hour

// Source is where the requests of a line get what they wait for.
type Source[T any] interface {
	// Acquire takes a permission for one request of the class. If there is
	// none it returns false and when to ask again; 0 means that Wake will be
	// called.
	Acquire(class model.Class) (permission T, ok bool, wait time.Duration)
	// Release gives an unused permission back.
	Release(permission T)
	// Rate returns how many requests a second the line serves at present; 0 if
	// nothing is known to come.
	Rate() float64
	// MinWait returns how long the first of the line waits at least.
	MinWait() time.Duration
}

// Queue is the queue of one service in one place. Work that a person waits for
// goes before bulk work; within each the first to come is the first served.
type Queue[T any] struct {
	source  Source[T]
	waiting atomic.Int32

	mu    sync.Mutex
	fast  []*waiter[T]
	bulk  []*waiter[T]
	timer *time.Timer
}

type waiter[T any] struct {
	class   model.Class
	leaveBy time.Time
	// ready has room for one, so that handing over never blocks.
	ready chan T
	// late is closed when the request is refused before leaveBy.
	late chan struct{}
}

// New returns an empty line.
func New[T any](source Source[T]) *Queue[T] {
	return &Queue[T]{source: source}
}

// Waiting returns how many requests wait.
func (l *Queue[T]) Waiting() int { return int(l.waiting.Load()) }

// TryAcquire takes a permission if nobody waits and one is free. It returns
// how long the source asks to wait otherwise.
func (l *Queue[T]) TryAcquire(class model.Class) (permission T, ok bool, wait time.Duration) {
	if l.waiting.Load() > 0 {
		return permission, false, 0
	}
	return l.source.Acquire(class)
}

// Acquire waits for a permission until leaveBy. It returns ErrLate as soon as
// it is known that the wait will take longer than that, and the context's error
// if that ends first.
func (l *Queue[T]) Acquire(ctx context.Context, class model.Class, leaveBy time.Time) (T, error) {
	permission, ok, _ := l.TryAcquire(class)
	if ok {
		return permission, nil
	}
	w, err := l.join(class, leaveBy)
	if err != nil {
		return permission, err
	}
	late := time.NewTimer(time.Until(leaveBy))
	defer late.Stop()
	select {
	case permission = <-w.ready:
		return permission, nil
	case <-w.late:
		return permission, ErrLate
	case <-late.C:
		return l.leave(w, ErrLate)
	case <-ctx.Done():
		return l.leave(w, ctx.Err())
	}
}

// Expected returns how long a request of the class would wait now.
func (l *Queue[T]) Expected(class model.Class) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expected(class)
}

// RefuseLate refuses the requests that can no longer be served in time. It is
// called when the pace may have fallen.
//
// Guard against requests that are held until their deadline after the grant or
// the targets they wait for have gone: it shows as callers that learn at the
// last moment what was known long before. The guard holds because each waiting
// request is judged by the same rule as one that comes now.
func (l *Queue[T]) RefuseLate() {
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serve()
	first, each := l.outlook()
	now := time.Now()
	l.fast = l.dropLate(l.fast, now.Add(first), each)
	first += time.Duration(len(l.fast)) * each
	l.bulk = l.dropLate(l.bulk, now.Add(first), each)
}

// Wake serves waiting requests as far as the source permits. It is called
// whenever a permission becomes free.
func (l *Queue[T]) Wake() {
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serve()
}

func (l *Queue[T]) join(class model.Class, leaveBy time.Time) (*waiter[T], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Add(l.expected(class)).After(leaveBy) {
		return nil, ErrLate
	}
	w := &waiter[T]{class: class, leaveBy: leaveBy, ready: make(chan T, 1), late: make(chan struct{})}
	l.waiting.Add(1)
	if class == model.Bulk {
		l.bulk = append(l.bulk, w)
	} else {
		l.fast = append(l.fast, w)
	}
	// A permission that became free before the request was counted as waiting
	// woke nobody; ask once more.
	l.serve()
	return w, nil
}

// leave takes the waiter out. If it was served in the same moment the
// permission goes to the next one.
func (l *Queue[T]) leave(w *waiter[T], cause error) (none T, err error) {
	l.mu.Lock()
	l.remove(w)
	l.mu.Unlock()
	select {
	case permission := <-w.ready:
		l.source.Release(permission)
		l.Wake()
	default:
	}
	return none, cause
}

func (l *Queue[T]) remove(w *waiter[T]) {
	list := &l.fast
	if w.class == model.Bulk {
		list = &l.bulk
	}
	for i, other := range *list {
		if other == w {
			*list = append((*list)[:i], (*list)[i+1:]...)
			l.waiting.Add(-1)
			return
		}
	}
}

func (l *Queue[T]) expected(class model.Class) time.Duration {
	first, each := l.outlook()
	ahead := len(l.fast)
	if class == model.Bulk {
		ahead += len(l.bulk)
	}
	return first + time.Duration(ahead)*each
}

// outlook returns how long the first of the line waits and each one behind it
// in addition.
func (l *Queue[T]) outlook() (first, each time.Duration) {
	pace := l.source.Rate()
	if pace <= 0 {
		return never, 0
	}
	return l.source.MinWait(), time.Duration(min(1/pace, never.Seconds()) * float64(time.Second))
}

// dropLate refuses those of a list that will not be served by their time. The
// first one is served at the time given and each next one later by each.
func (l *Queue[T]) dropLate(list []*waiter[T], served time.Time, each time.Duration) []*waiter[T] {
	kept := list[:0]
	for _, w := range list {
		if served.After(w.leaveBy) {
			l.waiting.Add(-1)
			close(w.late)
			continue
		}
		served = served.Add(each)
		kept = append(kept, w)
	}
	clear(list[len(kept):])
	return kept
}

// serve is called with the lock held.
func (l *Queue[T]) serve() {
	if l.serveList(&l.fast) {
		l.serveList(&l.bulk)
	}
}

// serveList returns whether the list was served whole.
func (l *Queue[T]) serveList(list *[]*waiter[T]) bool {
	for len(*list) > 0 {
		w := (*list)[0]
		permission, ok, wait := l.source.Acquire(w.class)
		if !ok {
			l.askAgain(wait)
			return false
		}
		(*list)[0] = nil
		*list = (*list)[1:]
		l.waiting.Add(-1)
		w.ready <- permission
	}
	return true
}

func (l *Queue[T]) askAgain(wait time.Duration) {
	if wait <= 0 {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(wait, l.Wake)
}
