// Package clock provides a monotonic clock that advances while the machine is
// suspended, unlike that of time.Now. Without it a VM would continue to use a surplus
// that expired during a suspension and was granted to other VMs.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock reads the time. It is safe for concurrent use.
type Clock struct {
	// monotonic stops during a suspension, boot does not.
	monotonic func() time.Time
	boot      func() time.Duration

	started     time.Time
	bootStarted time.Duration
	suspended   atomic.Int64
}

// New returns the clock of this machine. On systems that do not report suspensions it
// behaves like time.Now.
func New() *Clock { return NewFrom(time.Now, sinceBoot) }

// NewFrom returns a clock that reads the time, which need not include suspensions, and
// the time since boot, which does. It reads the boot clock last and Now reads it first,
// so that a delay between the two readings is never mistaken for a suspension.
func NewFrom(monotonic func() time.Time, boot func() time.Duration) *Clock {
	c := &Clock{monotonic: monotonic, boot: boot, started: monotonic()}
	c.bootStarted = boot()
	return c
}

// Now returns the time, with a monotonic reading that includes suspensions since New.
// A suspension between the two clock readings of a call is included by the next call.
func (c *Clock) Now() time.Time {
	boot := c.boot() - c.bootStarted
	now := c.monotonic()
	return now.Add(c.recordSuspension(boot - now.Sub(c.started)))
}

// recordSuspension raises the total suspension time to measured if that is longer, and
// returns the total.
func (c *Clock) recordSuspension(measured time.Duration) time.Duration {
	for {
		known := c.suspended.Load()
		if int64(measured) <= known {
			return time.Duration(known)
		}
		if c.suspended.CompareAndSwap(known, int64(measured)) {
			return measured
		}
	}
}
