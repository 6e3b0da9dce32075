package aggregate

import (
	"time"

	"github.com/yuccaroute/yuccaroute/steering"
)

// fewRequests is the number of requests that are taken to have succeeded
// besides those seen: one failure among three requests tells little of a place.
const fewRequests = 10

// cellRate is what is sent to one service in one place, averaged over time: a
// report covers about a second, in which chance alone may fail or delay many.
type cellRate struct {
	known        bool
	sent, failed float64
	p50, p99     float64
}

// smooth takes in a state and replaces its rates and latencies.
func (r *cellRate) smooth(state *steering.PlaceState, since time.Duration) {
	weight := weightOf(since, smoothing)
	if !r.known {
		weight = 1
	}
	r.known = true
	r.sent += (state.SentRPS - r.sent) * weight
	r.failed += (state.SentRPS*state.FailureShare - r.failed) * weight
	state.SentRPS = r.sent
	state.FailureShare = r.failed / (r.sent + fewRequests/smoothing.Seconds())
	state.P50 = follow(&r.p50, state.P50, weight)
	state.P99 = follow(&r.p99, state.P99, weight)
}

// follow moves an average towards a latency; 0 is none.
func follow(average *float64, latency time.Duration, weight float64) time.Duration {
	if latency <= 0 {
		return time.Duration(*average)
	}
	if *average == 0 {
		weight = 1
	}
	*average += (float64(latency) - *average) * weight
	return time.Duration(*average)
}
