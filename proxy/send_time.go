package proxy

import (
	"math"
	"sync/atomic"
	"time"
)

// sendTimeWeight is the weight of the latest sample in the moving average.
const sendTimeWeight = 0.2

// sendTimeEstimator estimates how long writing a large body to a target takes,
// from a moving average of the time per byte. The zero value has no samples. It
// is safe for concurrent use.
type sendTimeEstimator struct{ perByte atomic.Uint64 }

// observe adds a body and the time that its writes took.
func (s *sendTimeEstimator) observe(length int64, took time.Duration) {
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

// estimate returns the expected time for a body, 0 before the first sample.
func (s *sendTimeEstimator) estimate(length int64) time.Duration {
	seconds := math.Float64frombits(s.perByte.Load()) * float64(length)
	return time.Duration(seconds * float64(time.Second))
}
