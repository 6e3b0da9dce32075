package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/fairshare"
)

// Waiter is a queued request.
type Waiter struct {
	request *Request
	region  string
	// latestEnd is when the request must end, see Request.latestEnd.
	latestEnd time.Time
	queuedAt  time.Time
	// key identifies the work of the request's account. late and tag are as of the last time that the
	// queue was sorted: whether the request misses its objective, and its fairshare tag, 0 without fair shares.
	key  fairshare.Key
	late bool
	tag  time.Duration
	// permitted is the longest time to completion that was accepted when the request was queued for a
	// permit; 0 if it waits for a slot only.
	permitted time.Duration
	// decided receives exactly one decision, unless the waiter is cancelled. isDecided is set before, as the
	// queue still holds the waiter until all have been looked at.
	decided   chan Decision
	isDecided bool
}

// Decided returns the channel that delivers the decision.
func (w *Waiter) Decided() <-chan Decision { return w.decided }

// latestEndAfter returns when the request must end if it goes on waiting. If the wait for a permit becomes
// longer than the one that it was accepted with, others overtake it, see Request.latestPermittedEnd.
func (w *Waiter) latestEndAfter(now time.Time, wait queueWait) time.Time {
	if latest := now.Add(w.permitted); wait.limited && w.permitted > 0 && latest.Before(w.latestEnd) {
		return latest
	}
	return w.latestEnd
}

// waitQueue holds the queued requests of one service on this VM in serving order.
type waitQueue struct {
	waiting []*Waiter
	// work is the work of accounts, nil without Policy.FairShares.
	work accountWork
}

// less orders the queue: first requests that can still meet their latency objective, then
// by priority of the account and of the route, then those that have come back as promised, then by
// the work of the account if Policy.FairShares is on, then by earliest objective.
func (w *Waiter) less(other *Waiter, now time.Time) bool {
	w.late, other.late = w.request.missesObjective(now), other.request.missesObjective(now)
	return w.compare(other) < 0
}

// compare compares the serving order of two requests as of the last time that the queue was sorted.
func (w *Waiter) compare(other *Waiter) int {
	if c := w.compareRank(other); c != 0 {
		return c
	}
	if w.tag != other.tag {
		return cmp.Compare(w.tag, other.tag)
	}
	return w.request.Objective.Compare(other.request.Objective)
}

// compareUrgency is as compare without the work of accounts.
func (w *Waiter) compareUrgency(other *Waiter) int {
	if c := w.compareRank(other); c != 0 {
		return c
	}
	return w.request.Objective.Compare(other.request.Objective)
}

// compareRank compares what precedes the work of accounts in the serving order.
func (w *Waiter) compareRank(other *Waiter) int {
	a, b := w.request, other.request
	if w.late != other.late {
		return first(other.late)
	}
	if a.AccountPriority != b.AccountPriority {
		return cmp.Compare(a.AccountPriority, b.AccountPriority)
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if kept := a.keepsPromise(); kept != b.keepsPromise() {
		return first(kept)
	}
	return 0
}

// first returns the result of a comparison that one of two is ahead, the first of them if isFirst is set.
func first(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

func (q *waitQueue) add(w *Waiter, now time.Time) {
	if q.work != nil {
		w.key = fairKey(w.request, w.region)
	}
	if q.isFair(w.request) {
		q.insert(w, now)
		return
	}
	q.clearTags()
	i := len(q.waiting)
	for i > 0 && w.less(q.waiting[i-1], now) {
		i--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
}

// demoteLate moves requests that can no longer meet their objective behind those that can.
// The sort is stable within both groups.
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

// hasMoreUrgent reports whether a request of a more urgent rank waits for a region.
func (q *waitQueue) hasMoreUrgent(r *Request, region string) bool {
	return slices.ContainsFunc(q.waiting, func(w *Waiter) bool {
		return !w.isDecided && w.region == region && w.request.rank() < r.rank()
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

// backlog is what waits before a request.
type backlog struct {
	requests int
	// work is the total service time of the requests.
	work time.Duration
}

func (b *backlog) add(r *Request) {
	b.requests++
	b.work += r.serviceTime()
}

// backlog returns the requests of a region that would be served before r, and the work of all
// regions.
func (q *waitQueue) backlog(r *Request, region string, now time.Time) (before backlog) {
	w := &Waiter{request: r, region: region}
	fair := q.isFair(r)
	if fair {
		if !q.hasAccounts() {
			q.sortByWork(now)
		}
		w.late = r.missesObjective(now)
		w.tag = q.tagOf(now, w)
	} else {
		q.clearTags()
	}
	for _, other := range q.waiting {
		// The queue is sorted by what was late when it was ordered.
		if fair && w.compare(other) < 0 || !fair && w.less(other, now) {
			continue
		}
		before.work += other.request.serviceTime()
		if other.region == region {
			before.requests++
		}
	}
	return before
}
