// Package step moves the effective shares of one node towards the plan without
// exceeding the account's move cap. The share increases of each flow stay under
// the cap in every sliding window. Hence the traffic moved by a node, and by all
// nodes together, stays under the cap as well, whatever the weights of the flows.
// The bound does not depend on measurements.
package step

import (
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// Stepper holds the effective plan of one account on one node. It is safe for
// concurrent use. The plans it returns are immutable.
type Stepper struct {
	clock func() time.Time

	mu        sync.Mutex
	limits    model.MoveLimits
	target    *plan.Plan
	effective *plan.Plan
	// applied is the last plan that was fully applied.
	applied *plan.Plan
	flows   map[flowKey]*flowState
}

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// New returns a stepper with the given limits. The clock must be monotonic, as
// time.Now is within one process.
func New(limits model.MoveLimits, clock func() time.Time) *Stepper {
	return &Stepper{
		clock:  clock,
		limits: limits,
		flows:  make(map[flowKey]*flowState),
	}
}

// SetLimits replaces the move cap. Moves made under the old cap count against
// the new one.
func (s *Stepper) SetLimits(limits model.MoveLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// Advance takes the latest plan and returns the shares to apply now. held is true
// when the move cap keeps the shares from matching the plan; call Advance again
// later. A plan that is not newer than the current one is ignored, and a nil
// target continues towards the current one. The first plan applies at once,
// because a node without history has moved nothing yet.
func (s *Stepper) Advance(target *plan.Plan) (effective *plan.Plan, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target != nil && target.Newer(s.target) {
		s.target = target
	}
	if s.effective == s.target {
		// The plan is already applied, or there is none yet.
		return s.effective, false
	}
	moved := s.advanceFlows()
	if s.targetReached() {
		s.effective = s.target
		s.applied = s.target
		return s.effective, false
	}
	if moved || s.effective == nil || s.target.Newer(s.effective) {
		s.effective = s.buildEffective()
	}
	return s.effective, true
}

// RemainingBudget returns the part of a flow that may still move now, 0 to 1.
func (s *Stepper) RemainingBudget(service model.ServiceName, caller model.RegionName) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.flows[flowKey{service, caller}]
	if t == nil {
		return 0
	}
	return float64(t.history.budget(s.limits, s.clock())) / plan.Whole
}

// advanceFlows advances every flow of the target and reports whether any changed.
func (s *Stepper) advanceFlows() bool {
	now := s.clock()
	changed := false
	for i := range s.target.Flows {
		f := &s.target.Flows[i]
		if s.flowState(f).advance(f.Shares, s.limits, now) {
			changed = true
		}
	}
	return changed
}

// flowState returns the state of a flow. It outlives plans that omit the flow, so
// that a flow reintroduced at another place still moves under the cap.
func (s *Stepper) flowState(f *plan.Flow) *flowState {
	key := flowKey{f.Service, f.Caller}
	t := s.flows[key]
	if t == nil {
		t = &flowState{}
		s.flows[key] = t
	}
	return t
}

// AppliedVersion returns the epoch and sequence of the last plan that was fully
// applied, or zeros when there was none.
func (s *Stepper) AppliedVersion() (epoch, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied == nil {
		return 0, 0
	}
	return s.applied.Epoch, s.applied.Sequence
}

func (s *Stepper) targetReached() bool {
	for i := range s.target.Flows {
		f := &s.target.Flows[i]
		if !sharesEqual(s.flowState(f).shares, f.Shares) {
			return false
		}
	}
	return true
}

// buildEffective builds the effective plan, with the version of the target.
func (s *Stepper) buildEffective() *plan.Plan {
	next := *s.target
	next.Flows = make([]plan.Flow, len(s.target.Flows))
	copy(next.Flows, s.target.Flows)
	for i := range next.Flows {
		next.Flows[i].Shares = s.flowState(&next.Flows[i]).shares
	}
	return &next
}
