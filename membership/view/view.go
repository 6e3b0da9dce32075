// Package view maintains the usable VMs from successive reads of the VM list. It
// keeps the last list and reports its age while the platform is unavailable.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// Subscriber is called with each new snapshot version, one call at a time. It
// must not block: the next update waits for it.
type Subscriber func(snapshot *Snapshot, change Change)

// View publishes snapshots of the VM list.
type View struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	tracker     *tracker
	subscribers []Subscriber
}

// New returns a view without a snapshot.
func New(options Options) *View {
	return &View{tracker: newTracker(options.withDefaults())}
}

// Current returns the last snapshot, nil before the first reading.
func (v *View) Current() *Snapshot {
	return v.current.Load()
}

// Subscribe adds a subscriber. If there is a snapshot, the subscriber is called
// at once with all its VMs as added.
func (v *View) Subscribe(subscriber Subscriber) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = append(v.subscribers, subscriber)
	if snapshot := v.current.Load(); snapshot != nil {
		subscriber(snapshot, Diff(nil, snapshot.List.VMs))
	}
}

// Update applies a list that was read at readAt. It ignores a list or a reading
// that is older than the last one.
func (v *View) Update(list membership.List, readAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.tracker.last
	snapshot := v.tracker.update(list, readAt)
	if snapshot == nil {
		return
	}
	first := v.current.Swap(snapshot) == nil
	if !first && snapshot.Version == before.Version {
		return
	}
	change := Diff(before.List.VMs, snapshot.List.VMs)
	for _, subscriber := range v.subscribers {
		subscriber(snapshot, change)
	}
}
