package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/regionplan"
	"github.com/yuccaroute/yuccaroute/edge/returns"
)

// Request holds the properties of a request that decide its placement.
type Request struct {
	Service string
	Class   *Class
	// Account is the name of the client account, "" for none.
	Account string
	// Allowed reports whether the request may run in a region; nil allows all.
	Allowed func(region string) bool
	// Key is the hash of the affinity key, if HasKey.
	Key    uint64
	HasKey bool
	// Large marks a large body, for which the VM's own region is preferred.
	Large bool
	// AccountPriority and Priority are the ranks of the account and of the route in the queue, 0
	// the highest. The account's rank precedes the route's.
	AccountPriority, Priority int
	// Objective is when the response is due, Deadline when the request times out.
	Objective, Deadline time.Time
	// GivesUp is when the caller stops waiting and repeating the request, as it has stated; zero if it
	// has not. It may be later than Deadline.
	GivesUp time.Time
	// Tried are the targets that must not get the request again.
	Tried []*Target
	// AlreadyCounted is set for retries and hedges, which do not count as new demand.
	AlreadyCounted bool
	// returned is what is known of the request from earlier refusals.
	returned returns.Status
	// regions is the set that Allowed allows, see regionNames.setOf. Place sets it.
	regions regionplan.Set
}

func (r *Request) allows(region string) bool { return r.Allowed == nil || r.Allowed(region) }

// serviceTime returns the expected service time, on a warm target if the request has a key.
func (r *Request) serviceTime() time.Duration { return r.Class.serviceTime(r.HasKey) }

// missesObjective reports whether the request would miss its objective if it started now.
func (r *Request) missesObjective(now time.Time) bool {
	return now.Add(r.serviceTime()).After(r.Objective)
}

// lateShare is the fraction of the time between objective and deadline in which a request
// may still run. A smaller value rejects requests although slots are about to become free; a
// larger one keeps callers waiting too long before a rejection.
const lateShare = 0.2

// latestEnd returns the latest completion time for which the request is still accepted. Requests
// that can still meet their objective are served first, so that not all become late in an overload.
func (r *Request) latestEnd() time.Time {
	if r.Objective.After(r.Deadline) {
		return r.Deadline
	}
	return r.Objective.Add(time.Duration(lateShare * float64(r.Deadline.Sub(r.Objective))))
}

// latestPermittedEnd returns the latest completion time for which the request may start to wait for a
// permit. Those that can meet their objective must: once they cannot, others overtake them, and they
// would wait in vain.
func (r *Request) latestPermittedEnd(now time.Time) time.Time {
	if r.missesObjective(now) {
		return r.latestEnd()
	}
	return r.Objective
}

func (r *Request) tried(t *Target) bool {
	for _, other := range r.Tried {
		if other == t {
			return true
		}
	}
	return false
}

// Reason is why a request was rejected.
type Reason int

// Reasons for a rejection.
const (
	// NoTarget: no region has a target that may serve the request.
	NoTarget Reason = iota + 1
	// AllLeaving: as NoTarget, since all targets leave.
	AllLeaving
	// TooLate: the request would end too late.
	TooLate
	// NoPermit: it would end too late, as limits of targets permit no request in time.
	NoPermit
	// AtRest: it would end too late, as targets have asked for a rest.
	AtRest
	// NotInWorkingSet: the key of the request is not among those that its region serves now.
	NotInWorkingSet
	// Unreached: this VM reaches none of the targets that may serve the request. Other VMs may.
	Unreached
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	switch r {
	case NoTarget:
		return "no target"
	case AllLeaving:
		return "all targets leave"
	case NoPermit:
		return "no permit"
	case AtRest:
		return "targets at rest"
	case NotInWorkingSet:
		return "not in the working set"
	case Unreached:
		return "targets not reached"
	}
	return "too late"
}

// Decision is the assignment of a request to a target, or its rejection if Target is nil.
type Decision struct {
	// Target counts the request as in flight until Done is called.
	Target *Target
	Region string
	// Warm is set if the target is assumed to be warm for the key.
	Warm bool
	// Expected is the expected response time, including network and queueing.
	Expected time.Duration
	// InFlight is the number of requests at the target before this one, by peer reports
	// that are at most CountsAge old. For a rejection InFlight and Slots cover the region.
	InFlight, Slots int
	CountsAge       time.Duration
	// Pace is the last pace that the target has stated, and LoadAge its age; 0 if it states none.
	Pace    float64
	LoadAge time.Duration
	Reason  Reason
	// FailuresAreWidespread is set if so many targets of the service fail that a refused
	// request may be retried on the same one.
	FailuresAreWidespread bool
	// RetryAfter is when the caller should retry a rejected request. Promised equals it if a place is
	// reserved for the caller then, and is 0 otherwise.
	RetryAfter, Promised time.Duration
	// Return is what is known of the request from earlier refusals.
	Return returns.Status
	// AccountWork is the work of the account of a refused request less the least work of the other
	// waiting accounts, 0 if there are none. HasAccountWork is set if fair shares apply to the request.
	AccountWork    time.Duration
	HasAccountWork bool
	// account and charged are what the work of an account was charged for the request; charged is 0 if
	// it does not count.
	account uint32
	charged time.Duration
	// scope and rank are those of the working set that the request counts in; scope is nil for none.
	scope *scope
	rank  int
}
