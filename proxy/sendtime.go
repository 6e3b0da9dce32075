package proxy

import (
	"math"
	"sync/atomic"
	"time"
)

// sendTimeWeight is the weight of the newest body in the average.
const sendTimeWeight = 0.2

// sendTime estimates how long it takes to write a large body to a target, as a
// moving average of the time a byte takes. The zero value knows nothing. It is
// safe for use by several goroutines.
type sendTime struct{ perByte atomic.Uint64 }

// observe counts a body by the time that its writes took.
func (s *sendTime) observe(length int64, took time.Duration) {
	latest := took.Seconds() / float64(length)
	for {
		old := s.perByte.Load()
		mean := math.Float64frombits(old)
		if old == 0 {
			mean = latest
		}
		mean += sendTimeWeight * (latest - mean)
		if s.perByte.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

// of returns the time for a body, 0 before the first observation.
func (s *sendTime) of(length int64) time.Duration {
	seconds := math.Float64frombits(s.perByte.Load()) * float64(length)
	return time.Duration(seconds * float64(time.Second))
}
