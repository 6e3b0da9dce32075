package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// broadcastTTL is how long an event is included in reports: in several of them, as datagrams
	// may be lost.
	broadcastTTL = 2 * time.Second
	// maxBroadcasts limits the events in one report.
	maxBroadcasts = 32
)

// Event is an observation about one request: a target crashed while processing it or answered it.
type Event struct {
	Request Fingerprint `msgpack:"r"`
	// Target identifies the incarnation of the target that crashed, 0 if a target answered.
	Target uint64 `msgpack:"t"`
}

// Answered reports whether a target answered the request.
func (e Event) Answered() bool { return e.Target == 0 }

// BroadcastQueue holds the events to include in reports to other VMs. It is safe for concurrent
// use.
type BroadcastQueue struct {
	mu     sync.Mutex
	events []queuedEvent
}

// queuedEvent is an event with the time when it was added. otherRegion is true if it came from
// another region, and suppressed if other VMs broadcast it already.
type queuedEvent struct {
	Event
	addedAt                 time.Time
	otherRegion, suppressed bool
}

// Add queues an event and reports whether it was not queued yet. It removes events that the new
// one contradicts: a crash is no longer broadcast after the request was answered.
func (q *BroadcastQueue) Add(now time.Time, e Event, otherRegion bool) bool {
	return q.add(now, queuedEvent{Event: e, addedAt: now, otherRegion: otherRegion})
}

// Suppress records that other VMs broadcast that a request was answered, so that this VM does not.
func (q *BroadcastQueue) Suppress(now time.Time, f Fingerprint) {
	q.add(now, queuedEvent{Event: Event{Request: f}, addedAt: now, suppressed: true})
}

func (q *BroadcastQueue) add(now time.Time, e queuedEvent) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	if slices.ContainsFunc(q.events, func(old queuedEvent) bool { return old.Event == e.Event }) {
		return false
	}
	q.events = slices.DeleteFunc(q.events, func(old queuedEvent) bool {
		return old.Request == e.Request && old.Answered() != e.Answered()
	})
	if len(q.events) >= maxBroadcasts {
		q.events = q.events[1:]
	}
	q.events = append(q.events, e)
	return true
}

// expire must be called with the lock held.
func (q *BroadcastQueue) expire(now time.Time) {
	q.events = slices.DeleteFunc(q.events, func(e queuedEvent) bool { return now.Sub(e.addedAt) > broadcastTTL })
}

// Pending returns the events for the next report, with those of other regions if otherRegions is
// true.
func (q *BroadcastQueue) Pending(now time.Time, otherRegions bool) []Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	var list []Event
	for _, e := range q.events {
		if !e.suppressed && (otherRegions || !e.otherRegion) {
			list = append(list, e.Event)
		}
	}
	return list
}
