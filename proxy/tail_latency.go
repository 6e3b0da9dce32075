package proxy

import (
	"math"
	"sync/atomic"
	"time"
)

// The quantile that tailLatency estimates, and the size of its steps.
const (
	tailQuantile = 0.99
	tailGain     = 0.2
)

// tailLatency estimates the tailQuantile of the latencies in constant memory:
// answers above the estimate raise it and answers below lower it, in steps that
// balance at the quantile. The zero value has no samples.
type tailLatency struct{ bits atomic.Uint64 }

// observe adds the latency of an answer.
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

// observeTimeout adds an answer that did not arrive within a time. Without
// these samples the estimate would stay below every deadline however slow the
// targets are.
func (l *tailLatency) observeTimeout(after time.Duration) {
	if after > l.estimate() {
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

// estimate returns the estimated quantile, 0 before the first sample.
func (l *tailLatency) estimate() time.Duration {
	return time.Duration(math.Float64frombits(l.bits.Load()))
}
