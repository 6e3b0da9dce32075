package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

const (
	// workingSetLoadTTL is how long the load that another VM has measured counts: two reports of a small
	// region, more of a large one.
	workingSetLoadTTL = 2500 * time.Millisecond
	// workingSetListening is how long a VM that starts only listens before it decides. By then it has
	// heard of the present arcs, and of other VMs that decide.
	workingSetListening = 1500 * time.Millisecond
	// othersSmoothing is the weight of one sample, taken once a second, in the average number of slots
	// that other requests hold: the counts of VMs are of different ages.
	othersSmoothing = 0.5
)

// WorkingSetRole is this VM's part in the decisions on the working sets of its region.
type WorkingSetRole int

// Roles. A standby decides if no decisions are heard although keys are, or should be, refused.
const (
	NoWorkingSetRole WorkingSetRole = iota
	WorkingSetStandby
	WorkingSetDecider
)

// workingSets is what a VM knows of the working sets of all regions, and what it decides on those of its
// own.
type workingSets struct {
	rings map[string]*workingset.Ring
	// loads are those that other VMs have measured, or the sums over regions, by the sender's name.
	loads map[string]peerLoads
	role  WorkingSetRole
	// firstTick is when this VM began to listen, steppedAt when it last decided or could have.
	firstTick, steppedAt time.Time
	// unlimitedAt is when this VM last did not see a need to begin to decide as the standby.
	unlimitedAt time.Time
}

type peerLoads struct {
	region string
	at     time.Time
	loads  []workingset.RankLoad
}

// scope holds the admitted requests of one service that may run in one region only.
type scope struct {
	id     workingset.ScopeID
	ring   *workingset.Ring
	meters [workingset.Ranks]workingset.Meter
	// refused counts the requests that this VM has refused since their keys were not admitted.
	refused int
	// others is the average number of slots that other requests hold. It is kept by the deciding VM, as
	// are controller and decided.
	others     float64
	controller *workingset.Controller
	decided    workingset.Decided
}

func newWorkingSets() workingSets {
	return workingSets{rings: make(map[string]*workingset.Ring), loads: make(map[string]peerLoads)}
}

// ring returns the arcs of a region.
func (b *Balancer) ring(now time.Time, region string) *workingset.Ring {
	r := b.sets.rings[region]
	if r == nil {
		r = workingset.NewRing(region, b.options.Policy.RotationPeriod, now)
		b.sets.rings[region] = r
	}
	return r
}

// scopeIn returns the scope of a service in a region.
func (b *Balancer) scopeIn(now time.Time, s *service, region string) *scope {
	c := s.scopes[region]
	if c == nil {
		c = &scope{id: workingset.ScopeOf(s.Name, region), ring: b.ring(now, region)}
		if s.scopes == nil {
			s.scopes = make(map[string]*scope)
		}
		s.scopes[region] = c
	}
	return c
}

// scopeOf returns the scope of a request, nil if the working set does not apply to it: without an affinity
// key no target is warm for it, and other regions could relieve one that is full.
func (b *Balancer) scopeOf(now time.Time, s *service, r *Request) *scope {
	if !b.options.Policy.WorkingSet || r.Allowed == nil || !r.HasKey {
		return nil
	}
	region := s.onlyRegion(r)
	if region == "" {
		return nil
	}
	return b.scopeIn(now, s, region)
}

// workingSetRank returns the rank of a request among those of its scope.
func (r *Request) workingSetRank() int { return workingset.RankOf(r.AccountPriority, r.Priority) }

// admitToWorkingSet counts a new request whose key is admitted, and refuses one whose key is not.
func (b *Balancer) admitToWorkingSet(now time.Time, s *service, r *Request) (refusal Decision, refused bool) {
	c := b.scopeOf(now, s, r)
	if c == nil {
		return Decision{}, false
	}
	if d, refused := b.refuseOutside(now, s, c, r); refused {
		// The work that callers ask for stays the same, whether it is admitted or not.
		s.demand.add(now, b.countRestricted(now, s, r))
		return d, true
	}
	if !r.AlreadyCounted {
		c.meters[r.workingSetRank()].Arrived(now)
	}
	return Decision{}, false
}

// leftWorkingSet refuses a queued request whose key is no longer admitted since the set has shrunk. One whose key
// the arc has passed while it waited stays: it came at its turn, and its key is not admitted again for a
// rotation.
func (b *Balancer) leftWorkingSet(now time.Time, s *service, w *Waiter) (refusal Decision, refused bool) {
	c := b.scopeOf(now, s, w.request)
	if c == nil {
		return Decision{}, false
	}
	arc := c.ring.Arc(now, c.id, w.request.workingSetRank())
	if arc.Passed(w.request.Key, now.Sub(w.queuedAt), b.options.Policy.RotationPeriod) {
		return Decision{}, false
	}
	return b.refuseOutside(now, s, c, w.request)
}

// refuseOutside refuses a request whose key is not admitted, and states the turn of the key. Retries and
// hedges pass: their request was admitted, and its work has been done in part.
func (b *Balancer) refuseOutside(now time.Time, s *service, c *scope, r *Request) (refusal Decision, refused bool) {
	if r.AlreadyCounted {
		return Decision{}, false
	}
	arc := c.ring.Arc(now, c.id, r.workingSetRank())
	if arc.Admits(r.Key) {
		return Decision{}, false
	}
	c.refused++
	region := s.onlyRegion(r)
	l := s.loadOf(now, region)
	return Decision{
		Reason: NotInWorkingSet, Region: region, Slots: int(l.slots), InFlight: l.inFlight,
		RetryAfter: max(arc.Turn(r.Key, b.options.Policy.RotationPeriod), minRetryAfter),
	}, true
}

// startInWorkingSet counts a request of a scope that is sent to a target.
func (d *Decision) startInWorkingSet(c *scope, r *Request) {
	if c == nil {
		return
	}
	d.scope, d.rank = c, r.workingSetRank()
	c.meters[d.rank].Started()
}

// endInWorkingSet counts the end of a request at a target; took excludes the network.
func (d *Decision) endInWorkingSet(now time.Time, outcome Outcome, took time.Duration) {
	if d.scope == nil {
		return
	}
	if outcome == Shed || outcome == Unreachable {
		took = 0
	}
	d.scope.meters[d.rank].Ended(now, outcome == Answered, took)
}
