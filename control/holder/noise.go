package holder

import (
	"math"
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
)

const (
	// maxDeviations is how many standard deviations a measurement may differ from
	// the last report and still count as noise.
	maxDeviations = 4
	// latencyTolerance is the relative difference of latencies, and failureTolerance
	// the absolute difference of failure shares, that is ignored in addition to
	// noise.
	latencyTolerance = 0.2
	failureTolerance = 0.01
	// p50Deviation and p99Deviation are the relative standard deviations of the P50
	// and P99 of a single request for exponentially distributed latency. For n
	// requests they are smaller by a factor of sqrt(n).
	p50Deviation = 1.44
	p99Deviation = 2.2
)

// intervals are the lengths in seconds of two measurement periods. They determine
// the expected noise.
type intervals struct{ last, current float64 }

func intervalsOf(last, current observe.Report) intervals {
	return intervals{last: secondsOf(last.Interval), current: secondsOf(current.Interval)}
}

// secondsOf returns one second for an unset interval.
func secondsOf(interval time.Duration) float64 {
	if interval <= 0 {
		return time.Second.Seconds()
	}
	return interval.Seconds()
}

// sameRate reports whether two rates of independent counts differ only by noise.
func (s intervals) sameRate(last, current float64) bool {
	counted := max(last*s.last+current*s.current, 1)
	pooled := counted / (s.last + s.current)
	return math.Abs(last-current) <= maxDeviations*math.Sqrt(pooled*(1/s.last+1/s.current))
}

// sameLatency compares two latencies measured at two request rates; deviation is the
// relative standard deviation of one request. An unknown latency counts as the same,
// because the rates already show that change.
func (s intervals) sameLatency(last, current time.Duration, lastRPS, currentRPS, deviation float64) bool {
	if last <= 0 || current <= 0 {
		return true
	}
	noise := deviation * math.Sqrt(1/max(lastRPS*s.last, 1)+1/max(currentRPS*s.current, 1))
	return math.Abs(float64(last-current)) <= (latencyTolerance+maxDeviations*noise)*float64(min(last, current))
}

// sameFailures compares the failure shares of two loads.
func (s intervals) sameFailures(last, current *observe.PlaceLoad) bool {
	before, after := max(last.SentRPS*s.last, 1), max(current.SentRPS*s.current, 1)
	pooled := min(max(last.FailureShare*before+current.FailureShare*after, 1)/(before+after), 1)
	noise := math.Sqrt(pooled * (1 - pooled) * (1/before + 1/after))
	return math.Abs(last.FailureShare-current.FailureShare) <= failureTolerance+maxDeviations*noise
}

// samePlaces reports whether two reports list the same places in the same order,
// with loads that differ only by noise.
func samePlaces(last, current observe.Report) bool {
	if len(last.Places) != len(current.Places) {
		return false
	}
	s := intervalsOf(last, current)
	for i := range last.Places {
		if !s.samePlace(&last.Places[i], &current.Places[i]) {
			return false
		}
	}
	return true
}

// samePlace compares the loads of one place. The first and the last refusal always
// count as a change.
func (s intervals) samePlace(last, current *observe.PlaceLoad) bool {
	return last.Service == current.Service && last.Place == current.Place &&
		last.Targets == current.Targets && last.Known == current.Known &&
		(last.RefusedRPS > 0) == (current.RefusedRPS > 0) &&
		s.sameRate(last.SentRPS, current.SentRPS) && s.sameRate(last.RefusedRPS, current.RefusedRPS) &&
		s.sameLatency(last.P50, current.P50, last.SentRPS, current.SentRPS, p50Deviation) &&
		s.sameLatency(last.P99, current.P99, last.SentRPS, current.SentRPS, p99Deviation) &&
		s.sameFailures(last, current)
}

// sameFlows reports whether the demand of two reports differs only by noise. Reports
// omit flows without requests.
func sameFlows(last, current observe.Report) bool {
	s := intervalsOf(last, current)
	for i := range current.Flows {
		f := &current.Flows[i]
		if !s.sameRate(offeredRPS(last.Flows, f), f.OfferedRPS) {
			return false
		}
	}
	for i := range last.Flows {
		f := &last.Flows[i]
		if !s.sameRate(f.OfferedRPS, offeredRPS(current.Flows, f)) {
			return false
		}
	}
	return true
}

// offeredRPS returns the rate of a flow in a list, 0 if it is not listed.
func offeredRPS(flows []observe.FlowDemand, of *observe.FlowDemand) float64 {
	for i := range flows {
		if flows[i].Service == of.Service && flows[i].Caller == of.Caller {
			return flows[i].OfferedRPS
		}
	}
	return 0
}
