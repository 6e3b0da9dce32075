// Package step moves one node's effective shares towards the plan no faster
// than the account's move cap. Each flow's share increases stay under the cap
// in every window of the given length, wherever it begins; therefore, for any
// weights of the flows, the part of the node's traffic that moves does too,
// and with it the sum over all nodes. The bound uses no measurement.
package step

import (
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// Stepper holds the effective plan of one account on one node. It is safe for
// use by several goroutines; the plans it returns are never changed.
type Stepper struct {
	clock func() time.Time

	mu        sync.Mutex
	limits    model.MoveLimits
	target    *plan.Plan
	effective *plan.Plan
	// reached is the last plan that the shares were equal to.
	reached *plan.Plan
	tracks  map[flowKey]*track
}

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// New returns a stepper under the limits. The clock must be monotonic, as
// time.Now is within one process.
func New(limits model.MoveLimits, clock func() time.Time) *Stepper {
	return &Stepper{
		clock:  clock,
		limits: limits,
		tracks: make(map[flowKey]*track),
	}
}

// SetLimits puts a changed cap in force. Moves made under the old one count
// against the new one.
func (s *Stepper) SetLimits(limits model.MoveLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// Advance takes the plan last received and returns the shares to apply now.
// held tells that the cap keeps them from the plan: call Advance again with
// the same plan later. A plan that is not newer than one seen before does not
// replace it. The first plan is taken as it is, because a node without history
// has moved nothing yet. A nil target goes on towards the last one.
func (s *Stepper) Advance(target *plan.Plan) (effective *plan.Plan, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target != nil && target.Newer(s.target) {
		s.target = target
	}
	if s.effective == s.target {
		// The usual call: the plan is in force, or there is none yet.
		return s.effective, false
	}
	moved := s.moveAll()
	if s.arrived() {
		s.effective = s.target
		s.reached = s.target
		return s.effective, false
	}
	if moved || s.effective == nil || s.target.Newer(s.effective) {
		s.effective = s.assemble()
	}
	return s.effective, true
}

// RemainingBudget returns the part of a flow that may still move now, 0 to 1.
func (s *Stepper) RemainingBudget(service model.ServiceName, caller model.RegionName) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tracks[flowKey{service, caller}]
	if t == nil {
		return 0
	}
	return float64(t.history.budget(s.limits, s.clock())) / plan.Whole
}

// moveAll advances every flow of the target and reports whether one changed.
func (s *Stepper) moveAll() bool {
	now := s.clock()
	changed := false
	for i := range s.target.Flows {
		f := &s.target.Flows[i]
		if s.trackOf(f).advance(f.Shares, s.limits, now) {
			changed = true
		}
	}
	return changed
}

// trackOf returns the history of a flow. It is kept when a plan leaves the
// flow out: a plan that drops a flow and brings it back elsewhere would
// otherwise move all of it at once.
func (s *Stepper) trackOf(f *plan.Flow) *track {
	key := flowKey{f.Service, f.Caller}
	t := s.tracks[key]
	if t == nil {
		t = &track{}
		s.tracks[key] = t
	}
	return t
}

// AppliedVersion returns the epoch and sequence of the last plan that was fully
// applied, or zeros when there was none.
func (s *Stepper) AppliedVersion() (epoch, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reached == nil {
		return 0, 0
	}
	return s.reached.Epoch, s.reached.Sequence
}

func (s *Stepper) arrived() bool {
	for i := range s.target.Flows {
		f := &s.target.Flows[i]
		if !sharesEqual(s.trackOf(f).shares, f.Shares) {
			return false
		}
	}
	return true
}

// assemble builds the effective plan. It carries the version of the target.
func (s *Stepper) assemble() *plan.Plan {
	next := *s.target
	next.Flows = make([]plan.Flow, len(s.target.Flows))
	copy(next.Flows, s.target.Flows)
	for i := range next.Flows {
		next.Flows[i].Shares = s.trackOf(&next.Flows[i]).shares
	}
	return &next
}
