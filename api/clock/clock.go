// Package clock reads a monotonic clock that goes on while the machine is
// suspended.
//
// The clock behind time.Now stands still then. A VM that is suspended with a
// surplus in force, and resumed when the surplus has long been given to others,
// would go on using it until its own clock shows the expiry: in sum more than
// the place carries would be sent.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock reads the time. Its methods may be called at the same time.
type Clock struct {
	// steady stands still during a suspension, boot does not.
	steady func() time.Time
	boot   func() time.Duration

	started     time.Time
	bootStarted time.Duration
	suspended   atomic.Int64
}

// New returns the clock of this machine. On systems that do not tell how long
// they were suspended it reads as time.Now.
func New() *Clock { return newClock(time.Now, sinceBoot) }

// newClock reads the boot clock after the other one, Now before it: so what Now
// takes for a suspension is never more than there was, and a delay between two
// readings is not taken for one.
func newClock(steady func() time.Time, boot func() time.Duration) *Clock {
	c := &Clock{steady: steady, boot: boot, started: steady()}
	c.bootStarted = boot()
	return c
}

// Now returns the time, with a monotonic reading that counts suspensions since
// New. A suspension that falls between the two readings of one call is seen by
// the next call.
func (c *Clock) Now() time.Time {
	boot := c.boot() - c.bootStarted
	now := c.steady()
	return now.Add(c.note(boot - now.Sub(c.started)))
}

// note raises the known time of suspension and returns it.
func (c *Clock) note(seen time.Duration) time.Duration {
	for {
		known := c.suspended.Load()
		if int64(seen) <= known {
			return time.Duration(known)
		}
		if c.suspended.CompareAndSwap(known, int64(seen)) {
			return seen
		}
	}
}
