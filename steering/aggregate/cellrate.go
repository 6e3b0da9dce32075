package aggregate

import (
	"time"

	"github.com/yuccaroute/yuccaroute/steering"
)

// priorSuccesses is the number of successful requests added to the measured ones,
// so that few requests do not give a high failure share.
const priorSuccesses = 10

// cellRate holds the smoothed rates and latencies of one service in one place. A
// report covers about a second, which is too short for stable values.
type cellRate struct {
	known        bool
	sent, failed float64
	p50, p99     float64
}

// smooth adds a state to the averages and replaces its values by them.
func (r *cellRate) smooth(state *steering.PlaceState, elapsed time.Duration) {
	weight := smoothingWeight(elapsed, smoothingTime)
	if !r.known {
		weight = 1
	}
	r.known = true
	r.sent += (state.SentRPS - r.sent) * weight
	r.failed += (state.SentRPS*state.FailureShare - r.failed) * weight
	state.SentRPS = r.sent
	state.FailureShare = r.failed / (r.sent + priorSuccesses/smoothingTime.Seconds())
	state.P50 = smoothLatency(&r.p50, state.P50, weight)
	state.P99 = smoothLatency(&r.p99, state.P99, weight)
}

// smoothLatency adds a latency to an average; 0 means no measurement.
func smoothLatency(average *float64, latency time.Duration, weight float64) time.Duration {
	if latency <= 0 {
		return time.Duration(*average)
	}
	if *average == 0 {
		weight = 1
	}
	*average += (float64(latency) - *average) * weight
	return time.Duration(*average)
}
