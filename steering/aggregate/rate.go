package aggregate

import "time"

// rate is the demand of one flow over time.
type rate struct {
	known      bool
	fast, slow float64
}

// add takes in a rate and returns the smoothed one and the part by which it
// may have grown until a decision on it has taken effect. A demand that rises
// evenly is ahead of its averages by the time each is taken over, so that
// their distance is what it grows by in the difference of these times, which
// is about what a report, a decision and a step take.
func (r *rate) add(rps float64, since time.Duration) (smooth, growth float64) {
	if !r.known {
		*r = rate{known: true, fast: rps, slow: rps}
		return rps, 0
	}
	r.fast += (rps - r.fast) * weightOf(since, smoothing)
	r.slow += (rps - r.slow) * weightOf(since, trend)
	if r.fast <= 0 {
		return r.fast, 0
	}
	growth = (r.fast-r.slow)/r.fast - leastGrowth
	return r.fast, min(max(growth, 0), mostGrowth)
}
