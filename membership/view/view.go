// Package view keeps the last good VM list. It goes on serving that list, with
// its age, while the platform is out.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// Subscriber is called with each new version, one call at a time. It must
// return soon: the next reading waits for it.
type Subscriber func(snapshot *Snapshot, change Change)

// View folds the readings of the list into snapshots.
type View struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	tracker     *tracker
	subscribers []Subscriber
}

// New returns a view that has taken nothing yet.
func New(options Options) *View {
	return &View{tracker: newTracker(options.withDefaults())}
}

// Current returns the last snapshot, nil before the first reading.
func (v *View) Current() *Snapshot {
	return v.current.Load()
}

// Subscribe adds a subscriber. If there is a snapshot already, it is called
// with it at once, all VMs as added.
func (v *View) Subscribe(subscriber Subscriber) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = append(v.subscribers, subscriber)
	if snapshot := v.current.Load(); snapshot != nil {
		subscriber(snapshot, Diff(nil, snapshot.List.VMs))
	}
}

// Update takes in a list that the platform gave at readAt. A list older than the
// last one, and a reading older than the last one, are left out.
func (v *View) Update(list membership.List, readAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.tracker.last
	snapshot := v.tracker.fold(list, readAt)
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
