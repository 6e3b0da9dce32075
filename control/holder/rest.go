package holder

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// SteadyReportInterval is the time between two reports of a node at rest. With one report
// lost it is still below the time after which a decider takes a node for silent,
// the time to live of a surplus.
const SteadyReportInterval = 10 * time.Second

// ReportTracker is what a node has told its decider: it decides what a report may leave
// out, and whether one is needed. It does no I/O. The zero ReportTracker is that of a node
// that has told nothing.
type ReportTracker struct {
	brief brief
	rest  rest
}

// OmitKnown leaves out of a request what the decider knows already, and promises
// the next report if the node may rest by what the set holds for it.
func (t *ReportTracker) OmitKnown(request *peerpb.RenewRequest, report observe.Report, set *grant.Set, now time.Time) {
	t.brief.shorten(request, report, now)
	if !request.Short && !request.Leaving && !request.Stopped && covered(report, set) {
		request.RestMs = uint32(SteadyReportInterval.Milliseconds())
	}
}

// RecordAnswer notes that the decider has answered a request made at a time.
func (t *ReportTracker) RecordAnswer(request *peerpb.RenewRequest, report observe.Report, response *peerpb.RenewResponse, at time.Time) {
	t.brief.answered(request, report, response, at)
	settled := response.Unchanged && !response.ReportNames && request.RestMs > 0
	t.rest = rest{epoch: response.Epoch, told: report, settled: settled}
}

// Reset notes that a request had no answer that could be used: the next one
// tells all, with all words.
func (t *ReportTracker) Reset() { *t = ReportTracker{} }

// UpToDate reports whether a node with a set in force has nothing to tell. recent is
// what it measured in the last round, whole since its last report: what changes by
// much shows in the one, what changes by little in the other.
func (t *ReportTracker) UpToDate(recent, whole observe.Report, set *grant.Set) bool {
	return t.rest.may(set) && t.rest.same(recent) && t.rest.same(whole)
}

// rest tells whether a node may report seldom: its last report was answered by
// the set it had, what it measures differs from what it told by chance only, and
// it holds floors for what it sends.
//
// Guard against a surplus that ends between two reports, for example because the
// decider was lost just before the second. It shows as requests that wait at a
// node until the next decider has answered it. A node at rest sends no more to any
// place than its floor there, which does not end.
type rest struct {
	// epoch is that of the last answer, 0 for none, and told what its report told.
	epoch uint64
	told  observe.Report
	// settled tells that the answer changed nothing and that its request had
	// promised the next one.
	settled bool
}

// may reports whether a node may rest while it has nothing to tell.
func (r *rest) may(set *grant.Set) bool {
	return r.settled && r.epoch == set.Epoch && covered(r.told, set)
}

// same reports whether a measurement tells no more than the last report. The first
// request after none is news: the decider is to hold a part for its callers.
func (r *rest) same(measured observe.Report) bool {
	return r.told.PlanEpoch == measured.PlanEpoch && r.told.PlanSequence == measured.PlanSequence &&
		(quiet(measured) || !quiet(r.told)) &&
		sameFlows(r.told, measured) && samePlaces(r.told, measured)
}

// quiet reports whether nobody called the node.
func quiet(report observe.Report) bool {
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

// covered reports whether the node holds floors, and as much of each as it sends.
func covered(report observe.Report, set *grant.Set) bool {
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
