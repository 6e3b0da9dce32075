package lease

import "time"

// Clock is the holder's clock. Its times should carry a monotonic reading.
type Clock interface {
	Now() time.Time
}

// SystemClock reads the machine's clocks.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// elapsed returns the larger of what the monotonic and the wall clock say.
// The monotonic clock may stand still while a VM is suspended, the wall clock
// may be set back; a holder that believed the smaller one would think its
// lease valid after the service had let it lapse.
func elapsed(since, now time.Time) time.Duration {
	monotonic := now.Sub(since)
	wall := now.Round(0).Sub(since.Round(0))
	return max(monotonic, wall)
}
