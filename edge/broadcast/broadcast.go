// Package broadcast holds the events that a VM tells the others in its reports. Each event is in
// several reports, as datagrams may be lost, and no report has more than a few. It does no I/O.
package broadcast

import (
	"slices"
	"sync"
	"time"
)

const (
	// eventTTL is how long an event is included in reports.
	eventTTL = 2 * time.Second
	// maxEvents limits the events in one report.
	maxEvents = 32
)

// Queue holds the events to include in reports to other VMs. The zero Queue is empty. It is safe for
// concurrent use.
type Queue[E comparable] struct {
	// Contradicts reports whether an old event must not be told after a new one; nil means none.
	Contradicts func(old, added E) bool

	mu     sync.Mutex
	events []queued[E]
}

// queued is an event with the time when it was added. otherRegion is true if it came from another
// region, and suppressed if other VMs tell it already.
type queued[E comparable] struct {
	event                   E
	addedAt                 time.Time
	otherRegion, suppressed bool
}

// Add queues an event and reports whether it was not queued yet. It removes events that the new one
// contradicts.
func (q *Queue[E]) Add(now time.Time, e E, otherRegion bool) bool {
	return q.add(queued[E]{event: e, addedAt: now, otherRegion: otherRegion})
}

// Suppress records that other VMs tell an event, so that this VM does not.
func (q *Queue[E]) Suppress(now time.Time, e E) {
	q.add(queued[E]{event: e, addedAt: now, suppressed: true})
}

func (q *Queue[E]) add(added queued[E]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(added.addedAt)
	if slices.ContainsFunc(q.events, func(old queued[E]) bool { return old.event == added.event }) {
		return false
	}
	if q.Contradicts != nil {
		q.events = slices.DeleteFunc(q.events, func(old queued[E]) bool { return q.Contradicts(old.event, added.event) })
	}
	if len(q.events) >= maxEvents {
		q.events = q.events[1:]
	}
	q.events = append(q.events, added)
	return true
}

// expire must be called with the lock held.
func (q *Queue[E]) expire(now time.Time) {
	q.events = slices.DeleteFunc(q.events, func(e queued[E]) bool { return now.Sub(e.addedAt) > eventTTL })
}

// Pending returns the events for the next report, with those of other regions if otherRegions is
// true.
func (q *Queue[E]) Pending(now time.Time, otherRegions bool) []E {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	var list []E
	for _, e := range q.events {
		if !e.suppressed && (otherRegions || !e.otherRegion) {
			list = append(list, e.event)
		}
	}
	return list
}
