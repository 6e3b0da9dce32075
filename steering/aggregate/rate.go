package aggregate

import "time"

// flowRate holds a fast and a slow moving average of the demand of one flow.
type flowRate struct {
	known      bool
	fast, slow float64
}

// add adds a rate and returns the smoothed rate and the relative growth to expect
// until a decision takes effect. Each average lags a linear rise by its time
// constant, so their difference is the growth during the difference of the two
// constants, about the time for a report, a decision and a step.
func (r *flowRate) add(rps float64, elapsed time.Duration) (smooth, growth float64) {
	if !r.known {
		*r = flowRate{known: true, fast: rps, slow: rps}
		return rps, 0
	}
	r.fast += (rps - r.fast) * smoothingWeight(elapsed, smoothingTime)
	r.slow += (rps - r.slow) * smoothingWeight(elapsed, trendTime)
	if r.fast <= 0 {
		return r.fast, 0
	}
	growth = (r.fast-r.slow)/r.fast - noiseGrowth
	return r.fast, min(max(growth, 0), maxGrowth)
}
