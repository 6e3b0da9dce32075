package holder

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// measuredOver is a report of one flow and the place it goes to.
func measuredOver(interval time.Duration, rps float64) observe.Report {
	return observe.Report{
		Interval: interval, PlanEpoch: 1, PlanSequence: 1,
		Flows: []observe.FlowDemand{{Service: "desk", Caller: "east", OfferedRPS: rps}},
		Places: []observe.PlaceLoad{{
			Service: "desk", Place: "a", SentRPS: rps, Targets: 3, Known: 3,
			P50: 8 * time.Millisecond, P99: 20 * time.Millisecond,
		}},
	}
}

// Callers come steadily and chance alone makes the counts differ from second to
// second. A node that reported each of them would keep its decider busy with
// nothing; one that kept more to itself would leave its callers waiting.
func TestSteadyNodeRests(t *testing.T) {
	const interval, rps = 10 * time.Second, 100
	floors := func(rps float64) *grant.Set {
		return &grant.Set{Epoch: 1, Grants: []grant.Grant{{Key: key, Floor: grant.Amount(rps * float64(grant.PerRequest))}}}
	}
	none := func(r *observe.Report) { *r = measuredOver(time.Second, 0) }
	for _, c := range []struct {
		name string
		// quiet tells that nobody had called when the node reported last, floor is
		// the node's floor, 120 if it is not stated.
		quiet bool
		floor float64
		// recent and whole change what was measured since.
		recent, whole func(*observe.Report)
		response      *peerpb.RenewResponse
		want          bool
	}{
		{name: "the same", want: true},
		{name: "chance", recent: func(r *observe.Report) { *r = measuredOver(time.Second, 130) }, want: true},
		{name: "latency by chance", recent: func(r *observe.Report) { r.Places[0].P99 *= 2 }, want: true},
		{name: "demand rises", recent: func(r *observe.Report) { *r = measuredOver(time.Second, 160) }},
		{name: "demand rises a little for long", whole: func(r *observe.Report) { *r = measuredOver(9*time.Second, 125) }},
		{name: "callers go", recent: none},
		{name: "slow", recent: func(r *observe.Report) { r.Places[0].P50 *= 3 }},
		{name: "failures", recent: func(r *observe.Report) { r.Places[0].FailureShare = 0.2 }},
		{name: "refusal", recent: func(r *observe.Report) { r.Places[0].RefusedRPS = 1 }},
		{name: "target gone", recent: func(r *observe.Report) { r.Places[0].Targets = 2 }},
		{name: "next plan", recent: func(r *observe.Report) { r.PlanSequence = 2 }},
		{name: "more than the floor", floor: 90},
		{name: "no floor", quiet: true, floor: -1, recent: none, whole: none},
		{name: "nobody calls", quiet: true, floor: 1, recent: none, whole: none, want: true},
		{name: "first caller", quiet: true, floor: 1, recent: func(r *observe.Report) { *r = measuredOver(time.Second, 1) }, whole: none},
		{name: "lowered", response: &peerpb.RenewResponse{Epoch: 1}},
		{name: "other decider", response: &peerpb.RenewResponse{Epoch: 2, Unchanged: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rate, floor, response := float64(rps), 120.0, &peerpb.RenewResponse{Epoch: 1, Unchanged: true}
			if c.quiet {
				rate = 0
			}
			if c.floor != 0 {
				floor = max(c.floor, 0)
			}
			if c.response != nil {
				response = c.response
			}
			told, recent, whole := measuredOver(interval, rate), measuredOver(time.Second, rps), measuredOver(5*time.Second, rps)
			for change, r := range map[*func(*observe.Report)]*observe.Report{&c.recent: &recent, &c.whole: &whole} {
				if *change != nil {
					(*change)(r)
				}
			}
			var n ReportTracker
			request := NewRequest(told)
			n.OmitKnown(request, told, floors(floor), start)
			n.RecordAnswer(request, told, response, start)
			if got := n.UpToDate(recent, whole, floors(floor)); got != c.want {
				t.Errorf("nothing to tell: %v", got)
			}
		})
	}
}
