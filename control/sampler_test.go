package control

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
)

// Regular reports must count each request once, although early reports reset the same
// counters in between.
func TestSamplerCountsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		sent, reported := make(map[model.RegionName]float64), make(map[model.RegionName]float64)
		var arrived map[model.RegionName]int
		s := newSampler(func(interval time.Duration) []observe.Report {
			r := observe.Report{Account: "daehan", Interval: interval}
			p := observe.PlaceLoad{Service: "dealer-desk", Place: "seoul-a"}
			for caller, n := range arrived {
				rate := float64(n) / interval.Seconds()
				r.Flows = append(r.Flows, observe.FlowDemand{Service: "dealer-desk", Caller: caller, OfferedRPS: rate})
				p.RefusedRPS += rate
			}
			r.Places = append(r.Places, p)
			return []observe.Report{r}
		}, now)
		refused := 0.0
		for range rapid.IntRange(1, 20).Draw(rt, "parts") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond)
			arrived = map[model.RegionName]int{
				rapid.SampledFrom([]model.RegionName{"seoul", "busan"}).Draw(rt, "caller"): rapid.IntRange(0, 50).Draw(rt, "requests"),
			}
			for caller, n := range arrived {
				sent[caller] += float64(n)
			}
			switch rapid.IntRange(0, 2).Draw(rt, "sample") {
			case 0:
				s.beginEarly(now)
			case 1:
				s.takeEarly(now)
			default:
				refused += addReported(reported, s.takeRegular(now))
			}
		}
		arrived = nil
		refused += addReported(reported, s.takeRegular(now.Add(time.Second)))
		all := 0.0
		for caller, n := range sent {
			all += n
			if math.Abs(reported[caller]-n) > 1e-6 {
				rt.Fatalf("%v requests of %s were reported as %v", n, caller, reported[caller])
			}
		}
		if math.Abs(refused-all) > 1e-6 {
			rt.Fatalf("%v refusals were reported as %v", all, refused)
		}
	})
}

// addReported adds the requests in regular samples and returns the refusals.
func addReported(reported map[model.RegionName]float64, all samples) (refused float64) {
	for _, r := range all {
		for _, f := range r.Flows {
			reported[f.Caller] += f.OfferedRPS * r.Interval.Seconds()
		}
		for _, p := range r.Places {
			refused += p.RefusedRPS * r.Interval.Seconds()
		}
	}
	return refused
}
