package holder

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// SteadyReportInterval is the time between two reports of a node whose measurements
// do not change. Even if one report is lost, the next one arrives before the surplus
// time to live has passed, after which a decider considers a node silent.
const SteadyReportInterval = 10 * time.Second

// ReportTracker tracks what the decider already knows from earlier reports. It
// decides what the next report may omit and whether one is needed. It does no I/O.
// The zero value is for a node that has not reported yet.
type ReportTracker struct {
	compactor requestCompactor
	steady    steadyState
}

// OmitKnown removes from a request what the decider already has. If the floors in
// the set cover the node's traffic, the request also announces the steady report
// interval.
func (t *ReportTracker) OmitKnown(request *peerpb.RenewRequest, report observe.Report, set *grant.Set, now time.Time) {
	t.compactor.compact(request, report, now)
	if !request.Short && !request.Leaving && !request.Stopped && floorsCover(report, set) {
		request.RestMs = uint32(SteadyReportInterval.Milliseconds())
	}
}

// RecordAnswer records that the decider answered a request sent at the given time.
func (t *ReportTracker) RecordAnswer(request *peerpb.RenewRequest, report observe.Report, response *peerpb.RenewResponse, at time.Time) {
	t.compactor.recordAnswer(request, report, response, at)
	settled := response.Unchanged && !response.ReportNames && request.RestMs > 0
	t.steady = steadyState{epoch: response.Epoch, lastReport: report, settled: settled}
}

// Reset discards the state after a request without a usable answer, so that the next
// one is sent in full.
func (t *ReportTracker) Reset() { *t = ReportTracker{} }

// UpToDate reports whether the node has nothing new to report while set is in force.
// recent is the measurement of the last round, whole the one since the last report:
// large changes show in the former, small ones in the latter.
func (t *ReportTracker) UpToDate(recent, whole observe.Report, set *grant.Set) bool {
	return t.steady.allowed(set) && t.steady.unchanged(recent) && t.steady.unchanged(whole)
}

// steadyState decides whether a node may report at the steady interval: its last
// report changed nothing, its measurements since differ from that report only by
// noise, and its floors cover its traffic.
//
// Floors do not expire, so such a node can go on sending if the decider fails and
// the surplus expires before its next report.
type steadyState struct {
	// epoch is that of the last answer, 0 for none; lastReport is the report that it
	// answered.
	epoch      uint64
	lastReport observe.Report
	// settled is set if the answer changed nothing and its request announced the
	// steady interval.
	settled bool
}

// allowed reports whether the node may report at the steady interval while its
// measurements stay the same.
func (s *steadyState) allowed(set *grant.Set) bool {
	return s.settled && s.epoch == set.Epoch && floorsCover(s.lastReport, set)
}

// unchanged reports whether a measurement matches the last report. The first request
// after a period without traffic counts as a change, because the decider then has to
// reserve capacity for its callers.
func (s *steadyState) unchanged(measured observe.Report) bool {
	return s.lastReport.PlanEpoch == measured.PlanEpoch && s.lastReport.PlanSequence == measured.PlanSequence &&
		(noTraffic(measured) || !noTraffic(s.lastReport)) &&
		sameFlows(s.lastReport, measured) && samePlaces(s.lastReport, measured)
}

// noTraffic reports whether a report contains no requests.
func noTraffic(report observe.Report) bool {
	for i := range report.Flows {
		if report.Flows[i].OfferedRPS > 0 {
			return false
		}
	}
	for i := range report.Places {
		if report.Places[i].SentRPS > 0 || report.Places[i].RefusedRPS > 0 {
			return false
		}
	}
	return true
}

// floorsCover reports whether the node holds floors and they cover all traffic it
// sends.
func floorsCover(report observe.Report, set *grant.Set) bool {
	for i := range report.Places {
		p := &report.Places[i]
		if p.SentRPS > 0 && p.SentRPS > floorOf(set, p).RPS() {
			return false
		}
	}
	return hasFloor(set)
}

func floorOf(set *grant.Set, p *observe.PlaceLoad) grant.Amount {
	for i := range set.Grants {
		key := &set.Grants[i].Key
		if key.Service == p.Service && key.Place == p.Place {
			return set.Grants[i].Floor
		}
	}
	return 0
}

func hasFloor(set *grant.Set) bool {
	for i := range set.Grants {
		if set.Grants[i].Floor > 0 {
			return true
		}
	}
	return false
}
