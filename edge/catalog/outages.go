package catalog

import (
	"sync"
	"time"
)

const (
	// minOutage is the shortest outage in which registrations can lapse: targets renew them
	// several times in their lifetime. It is longer than the replacement of a lost watcher takes.
	minOutage = 2500 * time.Millisecond
	// missingTimeout is how long after an outage a target stays in use without its
	// registration. Live targets register again within this time.
	missingTimeout = 2 * time.Second
)

// Outages tracks outages of the store: targets cannot renew their registrations then, so that
// those of live targets may be gone after it. It is safe for concurrent use.
type Outages struct {
	mu sync.Mutex
	// reachedAt is when the store was last known to answer this VM or another one.
	reachedAt time.Time
	// endedAt is the end of the last outage, zero for none.
	endedAt time.Time
}

// NewOutages returns a tracker that takes the store for reachable now.
func NewOutages(now time.Time) *Outages { return &Outages{reachedAt: now} }

// StoreReached records that the store answers this VM or another one.
func (o *Outages) StoreReached(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.reachedAt) >= minOutage {
		o.endedAt = now
	}
	if now.After(o.reachedAt) {
		o.reachedAt = now
	}
}

// GraceEnd returns until when a target whose registration is gone stays in use, because an
// outage may have dropped it. It returns false if the target has left.
func (o *Outages) GraceEnd(now time.Time) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.endedAt
	if now.Sub(o.reachedAt) >= minOutage {
		// The change itself shows that the store answers again.
		ended = now
	}
	end := ended.Add(missingTimeout)
	return end, !ended.IsZero() && now.Before(end)
}
