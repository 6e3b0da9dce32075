package holder

import (
	"math"
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
)

const (
	// sameDeviations is how many standard deviations what was measured may be
	// from what was told and still be taken for the same by chance.
	sameDeviations = 4
	// sameLatency is by what part a latency may differ without being news, and
	// sameFailures by how much a share of failures may.
	sameLatency  = 0.2
	sameFailures = 0.01
	// medianDeviation and tailDeviation are the standard deviations of the P50
	// and the P99 of one request, as parts of them, for exponential times: those of
	// n requests are smaller by the root of n.
	medianDeviation = 1.44
	tailDeviation   = 2.2
)

// spans are the times that two measurements were counted over, in seconds. They
// tell how much of a difference chance makes.
type spans struct{ told, now float64 }

func spansOf(told, now observe.Report) spans {
	return spans{told: secondsOf(told.Interval), now: secondsOf(now.Interval)}
}

// secondsOf takes an interval that is not stated for a second.
func secondsOf(interval time.Duration) float64 {
	if interval <= 0 {
		return time.Second.Seconds()
	}
	return interval.Seconds()
}

// rate reports whether two rates, of counts that come independently, differ by
// chance only.
func (s spans) rate(told, now float64) bool {
	counted := max(told*s.told+now*s.now, 1)
	pooled := counted / (s.told + s.now)
	return math.Abs(told-now) <= sameDeviations*math.Sqrt(pooled*(1/s.told+1/s.now))
}

// latency compares two latencies at two rates; deviation is that of one request.
// Where one is not known the rates tell whether that is news.
func (s spans) latency(told, now time.Duration, toldRPS, nowRPS, deviation float64) bool {
	if told <= 0 || now <= 0 {
		return true
	}
	chance := deviation * math.Sqrt(1/max(toldRPS*s.told, 1)+1/max(nowRPS*s.now, 1))
	return math.Abs(float64(told-now)) <= (sameLatency+sameDeviations*chance)*float64(min(told, now))
}

// failures compares two shares of failed requests.
func (s spans) failures(told, now *observe.PlaceLoad) bool {
	before, after := max(told.SentRPS*s.told, 1), max(now.SentRPS*s.now, 1)
	pooled := min(max(told.FailureShare*before+now.FailureShare*after, 1)/(before+after), 1)
	chance := math.Sqrt(pooled * (1 - pooled) * (1/before + 1/after))
	return math.Abs(told.FailureShare-now.FailureShare) <= sameFailures+sameDeviations*chance
}

// samePlaces reports whether the places of two reports are the same ones, in the
// same order, and differ by chance only.
func samePlaces(told, now observe.Report) bool {
	if len(told.Places) != len(now.Places) {
		return false
	}
	s := spansOf(told, now)
	for i := range told.Places {
		if !s.place(&told.Places[i], &now.Places[i]) {
			return false
		}
	}
	return true
}

// place compares the loads of a place. The first refusal and the last are news.
func (s spans) place(told, now *observe.PlaceLoad) bool {
	return told.Service == now.Service && told.Place == now.Place &&
		told.Targets == now.Targets && told.Known == now.Known &&
		(told.RefusedRPS > 0) == (now.RefusedRPS > 0) &&
		s.rate(told.SentRPS, now.SentRPS) && s.rate(told.RefusedRPS, now.RefusedRPS) &&
		s.latency(told.P50, now.P50, told.SentRPS, now.SentRPS, medianDeviation) &&
		s.latency(told.P99, now.P99, told.SentRPS, now.SentRPS, tailDeviation) &&
		s.failures(told, now)
}

// sameFlows reports whether the demands of two reports differ by chance only. A
// flow that a report leaves out had no request.
func sameFlows(told, now observe.Report) bool {
	s := spansOf(told, now)
	for i := range now.Flows {
		f := &now.Flows[i]
		if !s.rate(offered(told.Flows, f), f.OfferedRPS) {
			return false
		}
	}
	for i := range told.Flows {
		f := &told.Flows[i]
		if !s.rate(f.OfferedRPS, offered(now.Flows, f)) {
			return false
		}
	}
	return true
}

// offered returns the rate of a flow among others, 0 if it is not there.
func offered(flows []observe.FlowDemand, of *observe.FlowDemand) float64 {
	for i := range flows {
		if flows[i].Service == of.Service && flows[i].Caller == of.Caller {
			return flows[i].OfferedRPS
		}
	}
	return 0
}
