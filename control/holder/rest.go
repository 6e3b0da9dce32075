package holder

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// RestInterval is the time between two reports of a node at rest. With one report
// lost it is still below the time after which a decider takes a node for silent,
// the time to live of a surplus.
const RestInterval = 10 * time.Second

// Told is what a node has told its decider: it decides what a report may leave
// out, and whether one is needed. It does no I/O. The zero Told is that of a node
// that has told nothing.
type Told struct {
	brief brief
	rest  rest
}

// Shorten leaves out of a request what the decider knows already.
func (t *Told) Shorten(request *peerpb.RenewRequest, report observe.Report, now time.Time) {
	t.brief.shorten(request, report, now)
}

// Answered notes that the decider has answered a request made at a time.
func (t *Told) Answered(request *peerpb.RenewRequest, report observe.Report, response *peerpb.RenewResponse, at time.Time) {
	t.brief.answered(request, report, response.Epoch, at)
	t.rest = rest{epoch: response.Epoch, told: report, settled: response.Unchanged}
}

// Unanswered notes that a request had no answer that could be used.
func (t *Told) Unanswered() { t.rest = rest{} }

// Enough reports whether a node that measures this and has a set in force has
// nothing to tell.
func (t *Told) Enough(measured observe.Report, set *grant.Set) bool {
	return t.rest.may(measured, set)
}

// rest tells whether a node may report seldom: nobody calls it, what it measures
// is what it told, and it holds floors for the first caller.
//
// Guard against a surplus that ends between two reports, for example because the
// decider was lost just before the second: a node at rest does not use any, and
// one that is called is no longer at rest. Nodes that are called always report at
// the interval, since the planner takes a report of 5 s for old.
type rest struct {
	// epoch is that of the last answer, 0 for none, and told what its report told.
	epoch uint64
	told  observe.Report
	// settled tells that the answer changed nothing.
	settled bool
}

// may reports whether a node that measures this has nothing to tell.
func (r *rest) may(report observe.Report, set *grant.Set) bool {
	return r.settled && r.epoch == set.Epoch && quiet(report) && quiet(r.told) &&
		r.told.PlanEpoch == report.PlanEpoch && r.told.PlanSequence == report.PlanSequence &&
		samePlaces(r.told.Places, report.Places) && hasFloor(set)
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

func hasFloor(set *grant.Set) bool {
	for i := range set.Grants {
		if set.Grants[i].Floor > 0 {
			return true
		}
	}
	return false
}
