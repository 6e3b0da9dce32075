package proxy

import (
	"math"
	"sync/atomic"
	"time"
)

// What tailLatency estimates, and how fast it follows.
const (
	tailQuantile = 0.99
	tailGain     = 0.2
)

// tailLatency estimates the latency that all but one in a hundred answers stay
// under. It keeps one number: an answer above it raises it by about a fifth,
// one below lowers it by a hundredth of that, so that it settles where one in a
// hundred is above. The zero value knows nothing.
type tailLatency struct{ bits atomic.Uint64 }

// observe counts an answer by the time it took.
func (l *tailLatency) observe(took time.Duration) {
	l.update(func(estimate float64) float64 {
		if estimate == 0 {
			return float64(took)
		}
		if float64(took) <= estimate {
			return estimate * (1 - tailGain*(1-tailQuantile))
		}
		return min(estimate*(1+tailGain*tailQuantile), float64(took))
	})
}

// cutOff counts an answer that had not come after a time. Without it, answers
// that are cut off by their deadlines would not count, and the estimate would
// stay below every deadline however slow the targets are.
func (l *tailLatency) cutOff(after time.Duration) {
	if after > l.get() {
		l.observe(after)
	}
}

func (l *tailLatency) update(next func(float64) float64) {
	for {
		old := l.bits.Load()
		changed := next(math.Float64frombits(old))
		if l.bits.CompareAndSwap(old, math.Float64bits(changed)) {
			return
		}
	}
}

// get returns the estimate, 0 before the first answer.
func (l *tailLatency) get() time.Duration {
	return time.Duration(math.Float64frombits(l.bits.Load()))
}
