package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/proxy/admission"
	"github.com/yuccaroute/yuccaroute/proxy/buffer"
	"github.com/yuccaroute/yuccaroute/steering/pick"
	"github.com/yuccaroute/yuccaroute/steering/step"
)

// accountState is the mutable state of one account, from which the views that
// requests read are built. Proxy.mu guards it.
type accountState struct {
	proxy   *Proxy
	name    model.AccountName
	account *model.Account
	grants  *grant.Set

	stepper       *step.Stepper
	latestPlan    *plan.Plan
	effectivePlan *plan.Plan
	// moveCapped is set while the move cap keeps the shares from reaching the
	// plan.
	moveCapped bool

	services    map[model.ServiceName]*serviceState
	places      map[grant.Key]*placeState
	pickers     map[flowKey]*pick.Picker
	relocations map[flowKey]*relocationBudget
	bytes       *buffer.Share
	inFlight    *buffer.Share
}

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

func newAccountState(p *Proxy, name model.AccountName) *accountState {
	return &accountState{
		proxy:       p,
		name:        name,
		services:    make(map[model.ServiceName]*serviceState),
		places:      make(map[grant.Key]*placeState),
		pickers:     make(map[flowKey]*pick.Picker),
		relocations: make(map[flowKey]*relocationBudget),
		bytes:       p.bytes.NewShare(),
		inFlight:    p.inFlight.NewShare(),
	}
}

func (s *accountState) setAccount(a *model.Account, now int64) {
	s.account = a
	if s.stepper == nil {
		s.stepper = step.New(a.Moves, time.Now)
	}
	s.stepper.SetLimits(a.Moves)
	s.advance(s.latestPlan)
	for i := range a.Services {
		service := &a.Services[i]
		if s.services[service.Name] == nil {
			s.services[service.Name] = newServiceState(s.proxy.options.Scope, a.Name, service.Name)
		}
		for _, place := range a.Places {
			s.setPlace(service, place, now)
		}
	}
}

func (s *accountState) setPlace(service *model.Service, place model.Place, now int64) {
	key := grant.Key{Account: s.name, Service: service.Name, Place: place.Name}
	state := s.places[key]
	if state == nil {
		state = newPlaceState(s.proxy, key)
		state.bucket.SetLimit(admission.LimitOf(s.grants, key), s.proxy.options.Clock())
		s.places[key] = state
	}
	state.setService(service, s.roundTrip(place.Region), now)
}

// roundTrip returns the network round-trip time from the node to a region.
func (s *accountState) roundTrip(to model.RegionName) time.Duration {
	from := s.account.Region(s.proxy.options.Region)
	if from == nil || to == s.proxy.options.Region {
		return 0
	}
	for _, d := range from.Delays {
		if d.To == to {
			return 2 * d.OneWay
		}
	}
	return 0
}

func (s *accountState) setPlan(next *plan.Plan) {
	if !next.Newer(s.latestPlan) {
		return
	}
	s.latestPlan = next
	s.advance(next)
}

// advance steps the shares towards the plan and reports whether they changed.
func (s *accountState) advance(next *plan.Plan) bool {
	if s.stepper == nil {
		return false
	}
	before := s.effectivePlan
	s.effectivePlan, s.moveCapped = s.stepper.Advance(next)
	return s.effectivePlan != before
}

// setGrants returns once every bucket enforces the set. A set of the same
// sequence replaces the current one, since a loan and its end change the grants
// within one sequence.
func (s *accountState) setGrants(set *grant.Set, now time.Time) {
	if s.grants != nil && s.grants.Newer(set) {
		return
	}
	s.grants = set
	for key, place := range s.places {
		place.bucket.SetLimit(admission.LimitOf(set, key), now)
		place.queue.RefuseLate()
	}
}

func (s *accountState) setTargets(list membership.List, now int64) {
	for key, place := range s.places {
		place.setTargets(list, key, now)
	}
}

// updateLimits adjusts the limits of targets to their measurements.
func (s *accountState) updateLimits() {
	nodes := s.proxy.options.Nodes()
	for _, place := range s.places {
		place.updateLimits(nodes)
		place.queue.RefuseLate()
	}
}

func (s *accountState) close() {
	for _, place := range s.places {
		place.close()
	}
}

// view builds the immutable view that requests read.
func (s *accountState) view() *accountView {
	v := &accountView{
		account:    s.account,
		services:   make(map[model.ServiceName]*serviceView, len(s.account.Services)),
		bytes:      s.bytes,
		inFlight:   s.inFlight,
		moveCapped: s.moveCapped,
	}
	for i := range s.account.Services {
		service := &s.account.Services[i]
		v.services[service.Name] = s.serviceView(service)
	}
	return v
}

func (s *accountState) serviceView(service *model.Service) *serviceView {
	v := &serviceView{
		service: service,
		state:   s.services[service.Name],
		flows:   make(map[model.RegionName]*flowView),
		places:  make(map[model.PlaceName]*placeState, len(s.account.Places)),
	}
	for _, place := range s.account.Places {
		key := grant.Key{Account: s.name, Service: service.Name, Place: place.Name}
		v.places[place.Name] = s.places[key]
	}
	if s.effectivePlan == nil {
		return v
	}
	for i := range s.effectivePlan.Flows {
		flow := &s.effectivePlan.Flows[i]
		if flow.Service == service.Name {
			v.flows[flow.Caller] = s.flowView(flow, v.state)
		}
	}
	return v
}

func (s *accountState) flowView(flow *plan.Flow, state *serviceState) *flowView {
	key := flowKey{flow.Service, flow.Caller}
	s.pickers[key] = pick.New(s.pickers[key], flow)
	if s.relocations[key] == nil {
		s.relocations[key] = newRelocationBudget()
	}
	s.relocations[key].setCapLeft(s.stepper.RemainingBudget(flow.Service, flow.Caller))
	return &flowView{
		chooser:     s.pickers[key],
		shares:      flow.Shares,
		relocations: s.relocations[key],
		offered:     state.offeredBy(flow.Caller),
	}
}

// updateRelocationBudgets passes the unused part of the move cap to each flow.
func (s *accountState) updateRelocationBudgets() {
	for key, budget := range s.relocations {
		budget.setCapLeft(s.stepper.RemainingBudget(key.service, key.caller))
	}
}

var _ PlaceChooser = (*pick.Picker)(nil)
