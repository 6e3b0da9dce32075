package holder

import (
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// NewRequest encodes a report as a request, with all names spelled out.
func NewRequest(report observe.Report) *peerpb.RenewRequest {
	request := &peerpb.RenewRequest{
		IntervalMs:   uint32(report.Interval.Milliseconds()),
		PlanEpoch:    report.PlanEpoch,
		PlanSequence: report.PlanSequence,
	}
	for _, f := range report.Flows {
		request.Flows = append(request.Flows, &peerpb.FlowDemand{
			Service:    string(f.Service),
			Caller:     string(f.Caller),
			OfferedRps: float32(f.OfferedRPS),
		})
	}
	for _, p := range report.Places {
		request.Places = append(request.Places, &peerpb.PlaceLoad{
			Service:      string(p.Service),
			Place:        string(p.Place),
			SentRps:      float32(p.SentRPS),
			RefusedRps:   float32(p.RefusedRPS),
			P50Us:        uint32(p.P50.Microseconds()),
			P99Us:        uint32(p.P99.Microseconds()),
			FailureShare: float32(p.FailureShare),
			Targets:      uint32(p.Targets),
			Known:        uint32(p.Known),
		})
	}
	return request
}
