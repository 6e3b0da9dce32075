package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// tellFor is how long an event is in the reports to other VMs: several of them, as reports
	// get lost.
	tellFor = 2 * time.Second
	// maxTold bounds the events in one report.
	maxTold = 32
)

// Event is what a VM saw of one request.
type Event struct {
	Request Fingerprint `msgpack:"r"`
	// Target is the start of a target that ended while it ran the request, 0 if a target has
	// answered it.
	Target uint64 `msgpack:"t"`
}

// Answered reports whether a target has answered the request.
func (e Event) Answered() bool { return e.Target == 0 }

// BroadcastQueue holds the events that other VMs are told of. It is safe for use by several
// goroutines.
type BroadcastQueue struct {
	mu     sync.Mutex
	events []told
}

// told is an event with when it was noted; otherRegion tells that it came from another region,
// and heard that others tell of it, so that this VM need not.
type told struct {
	Event
	at                 time.Time
	otherRegion, heard bool
}

// Add notes an event to tell of, and reports whether it is not told of already. What it makes
// void is told no more, or a VM would go on telling of an end after the request was answered.
func (j *BroadcastQueue) Add(now time.Time, e Event, otherRegion bool) bool {
	return j.add(now, told{Event: e, at: now, otherRegion: otherRegion})
}

// Suppress notes that others tell that a request was answered.
func (j *BroadcastQueue) Suppress(now time.Time, f Fingerprint) {
	j.add(now, told{Event: Event{Request: f}, at: now, heard: true})
}

func (j *BroadcastQueue) add(now time.Time, e told) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forgetOld(now)
	if slices.ContainsFunc(j.events, func(old told) bool { return old.Event == e.Event }) {
		return false
	}
	j.events = slices.DeleteFunc(j.events, func(old told) bool {
		return old.Request == e.Request && old.Answered() != e.Answered()
	})
	if len(j.events) >= maxTold {
		j.events = j.events[1:]
	}
	j.events = append(j.events, e)
	return true
}

// forgetOld is called with the lock held.
func (j *BroadcastQueue) forgetOld(now time.Time) {
	j.events = slices.DeleteFunc(j.events, func(e told) bool { return now.Sub(e.at) > tellFor })
}

// Pending returns the events to tell now, without those of other regions unless they are asked
// for.
func (j *BroadcastQueue) Pending(now time.Time, otherRegions bool) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forgetOld(now)
	var list []Event
	for _, e := range j.events {
		if !e.heard && (otherRegions || !e.otherRegion) {
			list = append(list, e.Event)
		}
	}
	return list
}
