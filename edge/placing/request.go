package placing

import "time"

// Request is what the decisions read of one request.
type Request struct {
	Service string
	Class   *Class
	// Allowed reports whether a region may run it; nil allows all.
	Allowed func(region string) bool
	// Key is the affinity key, a hash of what the request is about, if HasKey.
	Key    uint64
	HasKey bool
	// Large prefers targets in the VM's own failure domain.
	Large    bool
	Priority int
	// Objective is until when the answer has its full worth, Deadline until when any.
	Objective, Deadline time.Time
	// Tried are the targets that it must not be sent to again.
	Tried []*Target
	// AlreadyCounted tells that it was counted as demand before.
	AlreadyCounted bool
}

func (r *Request) allows(region string) bool { return r.Allowed == nil || r.Allowed(region) }

// serviceTime is how long a target that is warm for the key needs.
func (r *Request) serviceTime() time.Duration { return r.Class.serviceTime(r.HasKey) }

// missesObjective reports whether the request would miss its latency objective if it
// began now.
func (r *Request) missesObjective(now time.Time) bool {
	return now.Add(r.serviceTime()).After(r.Objective)
}

// lateShare is the part of the time between a request's latency objective and its
// deadline in which it is still run if a slot is free. With none, callers are refused
// though targets have room a moment later; with much more, they are held too long when
// none comes.
const lateShare = 0.2

// latestEnd is until when an answer is worth waiting for. Requests that can still meet
// their objective are served first, so that in an overload not all become late.
func (r *Request) latestEnd() time.Time {
	if r.Objective.After(r.Deadline) {
		return r.Deadline
	}
	return r.Objective.Add(time.Duration(lateShare * float64(r.Deadline.Sub(r.Objective))))
}

func (r *Request) tried(t *Target) bool {
	for _, other := range r.Tried {
		if other == t {
			return true
		}
	}
	return false
}

// Reason says why a request was refused.
type Reason int

// Reasons of a refusal.
const (
	// NoTarget tells that no target may serve the request.
	NoTarget Reason = iota + 1
	// TooLate tells that it would be served after its time.
	TooLate
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	if r == NoTarget {
		return "no target"
	}
	return "too late"
}

// Decision is a target, or a refusal.
type Decision struct {
	// Target has the request counted in; Done must be called for it.
	Target *Target
	Region string
	// Warm tells that the target is taken to be warm for the key.
	Warm bool
	// Expected is how long the answer should take, with the network and the queue.
	Expected time.Duration
	// InFlight is how many requests the target had before, of its Slots, by counts of
	// other VMs that are at most CountsAge old. Of a refusal both are of the whole region.
	InFlight, Slots int
	CountsAge       time.Duration
	Reason          Reason
	// FailuresAreWidespread tells that the targets of the service fail so often that a
	// refused request may be sent to the same one again.
	FailuresAreWidespread bool
	// RetryAfter is when there should be room.
	RetryAfter time.Duration
}
