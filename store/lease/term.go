package lease

import (
	"sync/atomic"
	"time"
)

// term is one period of holding the key, identified by its epoch.
type term struct {
	epoch uint64
	clock stopwatch
	// validity is how long the holder relies on the lease after extendedAt.
	validity time.Duration
	// extendedAt is when the call that last extended the lease was sent. The
	// time of the response would be too late, as the service counts from when it
	// processed the call.
	extendedAt atomic.Pointer[instant]
	// ended is set once the lease was seen to be invalid, also by a Held that
	// runs concurrently with extend. It is never reset, since a caller may have
	// acted on the end of the term.
	ended atomic.Bool
}

func newTerm(epoch uint64, clock stopwatch, validity time.Duration, sentAt instant) *term {
	t := &term{epoch: epoch, clock: clock, validity: validity}
	t.extendedAt.Store(&sentAt)
	return t
}

// valid reads the clock at each call, so that a holder whose process was paused
// sees the end of the term at its first call.
func (t *term) valid() bool {
	if t.ended.Load() {
		return false
	}
	if t.remaining() <= 0 {
		t.ended.Store(true)
		return false
	}
	return true
}

// extend returns false when the term ended before the call was answered.
func (t *term) extend(sentAt instant) bool {
	if !t.valid() {
		return false
	}
	t.extendedAt.Store(&sentAt)
	return t.valid()
}

func (t *term) remaining() time.Duration {
	return t.validity - elapsed(*t.extendedAt.Load(), t.clock.now())
}
