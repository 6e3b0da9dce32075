package grant

import (
	"sync/atomic"
	"time"
)

// Liveness tells whether the process was scheduled lately. A process that was
// not for longer than the limit may have been taken for ended and its floors
// given to others, so it must not use them when it goes on. The admission
// checks it itself: after a pause it may run before any timer does.
type Liveness struct {
	limit time.Duration
	last  atomic.Pointer[time.Time]
}

// NewLiveness returns a Liveness that has not been touched.
func NewLiveness(limit time.Duration) *Liveness { return &Liveness{limit: limit} }

// Touch notes that the process runs at now.
func (l *Liveness) Touch(now time.Time) { l.last.Store(&now) }

// Live reports whether the process was touched less than the limit ago.
func (l *Liveness) Live(now time.Time) bool {
	last := l.last.Load()
	return last != nil && now.Sub(*last) < l.limit
}
