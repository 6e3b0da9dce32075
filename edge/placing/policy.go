package placing

import "time"

// Policy selects optional decisions under load. One that is off changes nothing.
type Policy struct {
	// RegionPlan plans the regions of requests by where they may run, and not only by where their
	// callers are.
	RegionPlan bool
	// StatedLoad uses the load that targets state in their answers.
	StatedLoad bool
	// WorkingSet limits the affinity keys that are served in a region while the targets there cannot
	// serve all of them. RotationPeriod is the time within which each key gets its turn.
	WorkingSet     bool
	RotationPeriod time.Duration
	// Returns reserves capacity for refused callers that come back at the time that they were told.
	// PromisedShare is the largest fraction of the capacity that is reserved, from 0 to 1.
	Returns       bool
	PromisedShare float64
	// FairShares gives client accounts of one rank equal shares of the work of a region while its
	// capacity is short.
	FairShares bool
}
