package placing

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a target.
type Waiter struct {
	request *Request
	region  string
	// latestEnd is until when an answer is worth waiting for.
	latestEnd time.Time
	// decided gets the outcome once.
	decided chan Decision
}

// Decided is where the outcome comes.
func (w *Waiter) Decided() <-chan Decision { return w.decided }

// waitQueue is the waiting requests of one service at this VM, the next one first.
type waitQueue struct{ waiting []*Waiter }

// less is the order of the queue: requests that can still meet their latency objective
// go before those that cannot, urgent ones before others, then the earliest objective.
func (w *Waiter) less(other *Waiter, now time.Time) bool {
	a, b := w.request, other.request
	if late := a.missesObjective(now); late != b.missesObjective(now) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Objective.Before(b.Objective)
}

func (q *waitQueue) add(w *Waiter, now time.Time) {
	i := len(q.waiting)
	for i > 0 && w.less(q.waiting[i-1], now) {
		i--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
}

// demoteLate moves requests that have come to miss their objective behind those that can
// still meet it. Both keep their order.
func (q *waitQueue) demoteLate(now time.Time) {
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int {
		aLate, bLate := a.request.missesObjective(now), b.request.missesObjective(now)
		switch {
		case aLate == bLate:
			return 0
		case bLate:
			return -1
		}
		return 1
	})
}

func (q *waitQueue) remove(w *Waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// backlog is how much work waits before a request of this rank.
func (q *waitQueue) backlog(r *Request, now time.Time) time.Duration {
	w := &Waiter{request: r}
	sum := time.Duration(0)
	for _, other := range q.waiting {
		if !w.less(other, now) {
			sum += other.request.serviceTime()
		}
	}
	return sum
}
