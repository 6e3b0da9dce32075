package placing

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/edge/targetload"
)

// service holds the targets, the wait queue and the statistics of one service.
type service struct {
	site.Service
	targets   map[string]*Target
	regions   map[string][]*Target
	loads     loads
	queue     waitQueue
	demand    demand
	occupancy occupancy
	failures  serviceFailures
	// rejectedAt is when this VM last rejected a request for lack of capacity.
	rejectedAt time.Time
	weights    regionWeights
	plan       servicePlan
	// scopes holds those of the regions in which working sets apply.
	scopes map[string]*scope
	// returns holds those of each region.
	returns map[string]*permitReturns
	// promises holds the promises to refused callers by region, for Policy.Returns.
	promises map[string]*promises
	// starts counts the requests that this VM sent to targets, by region.
	starts map[string]*refusals.Starts
	// unreached holds the regions whose targets this VM does not reach.
	unreached map[string]bool
	// paces is nil until a target states its load with its pace.
	paces *targetload.Persistence
}

func newService(s site.Service) *service {
	return &service{
		Service: s, targets: make(map[string]*Target), regions: make(map[string][]*Target), loads: make(loads), returns: make(map[string]*permitReturns),
		promises: make(map[string]*promises), starts: make(map[string]*refusals.Starts), unreached: make(map[string]bool),
	}
}

// serviceAverages holds averages over all targets of a service.
type serviceAverages struct {
	// occupancy is the expected total time that a busy slot is held.
	occupancy time.Duration
	failures  *serviceFailures
}

func (s *service) averagesFor(r *Request) serviceAverages {
	return serviceAverages{occupancy: s.occupancy.lengthBiasedMean(r.serviceTime()), failures: &s.failures}
}

// countStart counts a request that is sent to a target of a region.
func (s *service) countStart(now time.Time, region string, r *Request) {
	starts := s.starts[region]
	if starts == nil {
		starts = refusals.NewStarts(now)
		s.starts[region] = starts
	}
	starts.Add(now, r.Account, r.workingSetRank())
}

// hasUsableTarget reports whether a region that a request may use has a target that neither leaves nor
// is in an evacuated domain. It may be unreachable now.
func (s *service) hasUsableTarget(r *Request) bool {
	for region, targets := range s.regions {
		if r.allows(region) && slices.ContainsFunc(targets, func(t *Target) bool { return t.usable }) {
			return true
		}
	}
	return false
}

// hasUntriedTarget is as hasUsableTarget, without the targets that must not get the request again.
func (s *service) hasUntriedTarget(r *Request) bool {
	for region, targets := range s.regions {
		if r.allows(region) && slices.ContainsFunc(targets, func(t *Target) bool { return t.usable && !r.tried(t) }) {
			return true
		}
	}
	return false
}

// rejectWithoutTarget rejects a request for which no region has a target.
func (s *service) rejectWithoutTarget(r *Request) Decision {
	leaving, all := 0, 0
	for region, targets := range s.regions {
		if !r.allows(region) {
			continue
		}
		for _, t := range targets {
			all++
			if t.leaving {
				leaving++
			}
		}
	}
	d := Decision{Reason: NoTarget, RetryAfter: maxRetryAfter}
	if all > 0 && leaving == all {
		d.Reason = AllLeaving
	}
	return d
}

func (s *service) returnsTo(region string) *permitReturns {
	n := s.returns[region]
	if n == nil {
		n = &permitReturns{}
		s.returns[region] = n
	}
	return n
}

// onlyRegion returns the region that may run a request if there is only one with usable targets, else
// "".
func (s *service) onlyRegion(r *Request) string {
	only := ""
	for region, targets := range s.regions {
		if !r.allows(region) || !slices.ContainsFunc(targets, func(t *Target) bool { return t.usable }) {
			continue
		}
		if only != "" {
			return ""
		}
		only = region
	}
	return only
}
