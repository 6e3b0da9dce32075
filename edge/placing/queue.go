package placing

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a target.
type Waiter struct {
	request *Request
	region  string
	// last is until when an answer is worth waiting for.
	last time.Time
	// decided gets the outcome once.
	decided chan Decision
}

// Decided is where the outcome comes.
func (w *Waiter) Decided() <-chan Decision { return w.decided }

// line is the waiting requests of one service at this VM, the next one first.
type line struct{ waiting []*Waiter }

// before is the order of the line: requests that can still meet their aim go
// before those that cannot, urgent ones before others, then the earliest aim.
func (w *Waiter) before(other *Waiter, now time.Time) bool {
	a, b := w.request, other.request
	if late := a.late(now); late != b.late(now) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Aim.Before(b.Aim)
}

func (l *line) add(w *Waiter, now time.Time) {
	i := len(l.waiting)
	for i > 0 && w.before(l.waiting[i-1], now) {
		i--
	}
	l.waiting = append(l.waiting, nil)
	copy(l.waiting[i+1:], l.waiting[i:])
	l.waiting[i] = w
}

// passLate moves requests that have come to miss their aim behind those that can still
// meet it. Both keep their order.
func (l *line) passLate(now time.Time) {
	slices.SortStableFunc(l.waiting, func(a, b *Waiter) int {
		aLate, bLate := a.request.late(now), b.request.late(now)
		switch {
		case aLate == bLate:
			return 0
		case bLate:
			return -1
		}
		return 1
	})
}

func (l *line) remove(w *Waiter) bool {
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// ahead is how much work waits before a request of this rank.
func (l *line) ahead(r *Request, now time.Time) time.Duration {
	w := &Waiter{request: r}
	sum := time.Duration(0)
	for _, other := range l.waiting {
		if !w.before(other, now) {
			sum += other.request.work()
		}
	}
	return sum
}
