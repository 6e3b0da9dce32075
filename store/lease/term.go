package lease

import (
	"sync/atomic"
	"time"
)

// term is one time of holding the key.
type term struct {
	epoch uint64
	watch stopwatch
	// safeFor is how long the holder may trust the lease after it sent the
	// call that last extended it.
	safeFor time.Duration
	// extended is when that call was sent, by the holder's clock. Counting
	// from the answer instead would add the time the answer took, and the
	// holder would outlive its lease by as much.
	extended atomic.Pointer[instant]
	// ended is set for good when the lease was seen invalid, also by a Held
	// that runs at the same moment as extend. A term never resumes: whoever
	// saw it end may have acted on that.
	ended atomic.Bool
}

func newTerm(epoch uint64, watch stopwatch, safeFor time.Duration, sent instant) *term {
	t := &term{epoch: epoch, watch: watch, safeFor: safeFor}
	t.extended.Store(&sent)
	return t
}

// valid reads the clock at each call, so that a holder that was paused finds
// out at its first look after the pause.
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

// extend reports false when the term had ended before the call was answered.
func (t *term) extend(sent instant) bool {
	if !t.valid() {
		return false
	}
	t.extended.Store(&sent)
	return t.valid()
}

func (t *term) remaining() time.Duration {
	return t.safeFor - elapsed(*t.extended.Load(), t.watch.now())
}
