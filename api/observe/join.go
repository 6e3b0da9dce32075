package observe

import (
	"time"
)

// Join returns the report of two intervals that follow each other. What only
// one of them names counts as 0 in the other.
func Join(a, b Report) Report {
	joined := b
	joined.Interval = a.Interval + b.Interval
	if joined.Interval <= 0 {
		return joined
	}
	weight := float64(a.Interval) / float64(joined.Interval)
	joined.Flows = joinFlows(a.Flows, b.Flows, weight)
	joined.Places = joinPlaces(a.Places, b.Places, weight)
	return joined
}

// joinFlows takes the part of the first interval in both as weight.
func joinFlows(a, b []FlowDemand, weight float64) []FlowDemand {
	joined := make([]FlowDemand, 0, len(b))
	for _, f := range b {
		f.OfferedRPS *= 1 - weight
		joined = append(joined, f)
	}
	for _, f := range a {
		f.OfferedRPS *= weight
		i := 0
		for i < len(joined) && (joined[i].Service != f.Service || joined[i].Caller != f.Caller) {
			i++
		}
		if i == len(joined) {
			joined = append(joined, f)
			continue
		}
		joined[i].OfferedRPS += f.OfferedRPS
	}
	return joined
}

// joinPlaces keeps the places of the later interval: one that is gone is not
// reported.
func joinPlaces(a, b []PlaceLoad, weight float64) []PlaceLoad {
	joined := make([]PlaceLoad, 0, len(b))
	for _, p := range b {
		for i := range a {
			if a[i].Service == p.Service && a[i].Place == p.Place {
				p = joinPlace(&a[i], p, weight)
				break
			}
		}
		joined = append(joined, p)
	}
	return joined
}

func joinPlace(a *PlaceLoad, b PlaceLoad, weight float64) PlaceLoad {
	before, after := a.SentRPS*weight, b.SentRPS*(1-weight)
	joined := b
	joined.SentRPS = before + after
	joined.RefusedRPS = a.RefusedRPS*weight + b.RefusedRPS*(1-weight)
	if joined.SentRPS > 0 {
		joined.FailureShare = (a.FailureShare*before + b.FailureShare*after) / joined.SentRPS
	}
	joined.P50 = joinLatency(a.P50, b.P50, before, after)
	joined.P99 = joinLatency(a.P99, b.P99, before, after)
	return joined
}

// joinLatency weighs two latencies by their requests; 0 is none measured.
func joinLatency(a, b time.Duration, before, after float64) time.Duration {
	switch {
	case a == 0 || before <= 0:
		return b
	case b == 0 || after <= 0:
		return a
	}
	return time.Duration((float64(a)*before + float64(b)*after) / (before + after))
}
