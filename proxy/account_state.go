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

// accountState is what the setters build views from. The proxy's lock guards
// it.
type accountState struct {
	proxy   *Proxy
	name    model.AccountName
	account *model.Account
	grants  *grant.Set

	stepper   *step.Stepper
	target    *plan.Plan
	effective *plan.Plan
	// held tells that the move cap keeps the shares from the plan.
	held bool

	services map[model.ServiceName]*serviceState
	places   map[grant.Key]*placeState
	pickers  map[flowKey]*pick.Picker
	repeats  map[flowKey]*elsewhere
	bytes    *buffer.Share
	inFlight *buffer.Share
}

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

func newAccountState(p *Proxy, name model.AccountName) *accountState {
	return &accountState{
		proxy:    p,
		name:     name,
		services: make(map[model.ServiceName]*serviceState),
		places:   make(map[grant.Key]*placeState),
		pickers:  make(map[flowKey]*pick.Picker),
		repeats:  make(map[flowKey]*elsewhere),
		bytes:    p.bytes.NewShare(),
		inFlight: p.inFlight.NewShare(),
	}
}

func (s *accountState) setAccount(a *model.Account, now int64) {
	s.account = a
	if s.stepper == nil {
		s.stepper = step.New(a.Moves, time.Now)
	}
	s.stepper.SetLimits(a.Moves)
	s.advance(s.target)
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
		state.bucket.Set(admission.LimitOf(s.grants, key), s.proxy.options.Clock())
		s.places[key] = state
	}
	state.setService(service, s.roundTrip(place.Region), now)
}

// roundTrip returns the network delay from the node to a region and back.
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
	if !next.Newer(s.target) {
		return
	}
	s.target = next
	s.advance(next)
}

// advance steps the shares and reports whether they changed.
func (s *accountState) advance(next *plan.Plan) bool {
	if s.stepper == nil {
		return false
	}
	before := s.effective
	s.effective, s.held = s.stepper.Advance(next)
	return s.effective != before
}

// setGrants returns when every bucket enforces the set. A set of the same
// sequence replaces the one in force, since a loan or its end changes the set
// within one sequence.
func (s *accountState) setGrants(set *grant.Set, now time.Time) {
	if s.grants != nil && s.grants.Newer(set) {
		return
	}
	s.grants = set
	for key, place := range s.places {
		place.bucket.Set(admission.LimitOf(set, key), now)
		place.line.Review()
	}
}

func (s *accountState) setTargets(list membership.List, now int64) {
	for key, place := range s.places {
		place.setTargets(list, key, now)
	}
}

// adapt fits the bounds of targets to what was measured of them.
func (s *accountState) adapt() {
	nodes := s.proxy.options.Nodes()
	for _, place := range s.places {
		place.adapt(nodes)
		place.line.Review()
	}
}

func (s *accountState) close() {
	for _, place := range s.places {
		place.close()
	}
}

// view builds what requests read.
func (s *accountState) view() *accountView {
	v := &accountView{
		account:  s.account,
		services: make(map[model.ServiceName]*serviceView, len(s.account.Services)),
		bytes:    s.bytes,
		inFlight: s.inFlight,
		held:     s.held,
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
	if s.effective == nil {
		return v
	}
	for i := range s.effective.Flows {
		flow := &s.effective.Flows[i]
		if flow.Service == service.Name {
			v.flows[flow.Caller] = s.flowView(flow, v.state)
		}
	}
	return v
}

func (s *accountState) flowView(flow *plan.Flow, state *serviceState) *flowView {
	key := flowKey{flow.Service, flow.Caller}
	s.pickers[key] = pick.New(s.pickers[key], flow)
	if s.repeats[key] == nil {
		s.repeats[key] = newElsewhere()
	}
	s.repeats[key].setLeft(s.stepper.RemainingBudget(flow.Service, flow.Caller))
	return &flowView{
		chooser:   s.pickers[key],
		shares:    flow.Shares,
		elsewhere: s.repeats[key],
		offered:   state.offeredBy(flow.Caller),
	}
}

// refreshLeft tells each flow what its moves have left of the cap.
func (s *accountState) refreshLeft() {
	for key, e := range s.repeats {
		e.setLeft(s.stepper.RemainingBudget(key.service, key.caller))
	}
}

var _ PlaceChooser = (*pick.Picker)(nil)
