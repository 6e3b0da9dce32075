package placing

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/regionplan"
)

const (
	// planIntervalPerSource times the number of sources is the time between two computations of a
	// service's region plan, because a computation takes the longer the more sources there are. It is
	// between minPlanInterval and regionPlanInterval. With six regions and six sets, computations for
	// four services take less than a thousandth of a core.
	planIntervalPerSource = 20 * time.Millisecond
	minPlanInterval       = 50 * time.Millisecond
	regionPlanInterval    = 750 * time.Millisecond
	// lossPlanInterval is the shortest time between two computations after an unexpected loss of
	// capacity, when weights change fast.
	lossPlanInterval = 250 * time.Millisecond
	// minRestrictedDemand is the demand in slots from which a source counts as restricted. Measured
	// demand decays and never reaches 0.
	minRestrictedDemand = 0.01
	// restrictedTTL is how long the weights of a set of regions are kept without requests.
	restrictedTTL = 10 * time.Second
	// coldRunSmoothing is the weight of one run in the fraction of cold runs of a source.
	coldRunSmoothing = 0.02
)

// regionNames are the sorted names of all regions, identical on all VMs. The index of a name is its bit
// in a regionplan.Set.
type regionNames struct {
	names []string
	// own is the index of the local region.
	own int
}

// namesOf returns no names, which turns the region plan off, if it is off by policy, if there are more
// regions than a set holds, or if the local one is unknown.
func namesOf(o Options) regionNames {
	if !o.Policy.RegionPlan {
		return regionNames{}
	}
	names := slices.Sorted(maps.Values(o.RegionOf))
	names = slices.Compact(names)
	own := slices.Index(names, o.Region)
	if own < 0 || len(names) > regionplan.MaxRegions {
		return regionNames{}
	}
	return regionNames{names: names, own: own}
}

// all returns the set of an unrestricted source.
func (n *regionNames) all() regionplan.Set { return regionplan.All(len(n.names)) }

// setOf returns the set of regions that a request may use, or that of all regions if it is not
// restricted, may use no region, or the region plan is off.
func (n *regionNames) setOf(r *Request) regionplan.Set {
	if r.Allowed == nil {
		return n.all()
	}
	set := regionplan.Set(0)
	for i, name := range n.names {
		if r.Allowed(name) {
			set |= 1 << i
		}
	}
	if set == 0 {
		return n.all()
	}
	return set
}

// isRestricted reports whether a set from another VM names some regions, but not all.
func (n *regionNames) isRestricted(set regionplan.Set) bool {
	return set&n.all() != 0 && set&n.all() != n.all()
}

// namesIn returns the names of the regions of a set.
func (n *regionNames) namesIn(set regionplan.Set) (in []string) {
	for i, name := range n.names {
		if set.Has(i) {
			in = append(in, name)
		}
	}
	return in
}

// byName returns the fractions of a plan above 0 by region.
func (n *regionNames) byName(fractions []float64) map[string]float64 {
	weights := make(map[string]float64, len(fractions))
	for i, fraction := range fractions {
		if fraction > 0 {
			weights[n.names[i]] = fraction
		}
	}
	return weights
}

// restrictedSource holds what this VM's callers request of a service that may run in a set of regions.
type restrictedSource struct {
	demand  demand
	weights regionWeights
	// cold is the fraction of the runs that are cold. If the source requests more keys than the targets
	// of its regions keep, it needs up to three times the slots that its warm runs would take.
	cold float64
	// planned are the weights of the newest region plan.
	planned map[string]float64
	usedAt  time.Time
}

// servicePlan is the region plan of a service. It is active while this VM or a valid report has
// restricted demand.
type servicePlan struct {
	active bool
	at     time.Time
	// interval is the time until the next computation.
	interval time.Duration
	// planned are the weights of this VM's unrestricted callers.
	planned map[string]float64
	// restricted holds this VM's restricted sources by their set.
	restricted map[regionplan.Set]*restrictedSource
}

// countRestricted counts a restricted request by the regions that it may use. It returns the expected
// service time of any request, by which its demand counts.
func (b *Balancer) countRestricted(now time.Time, s *service, r *Request) time.Duration {
	work := r.serviceTime()
	set := r.regions
	if set == b.names.all() {
		return work
	}
	source := s.plan.restricted[set]
	if source == nil {
		source = &restrictedSource{weights: regionWeights{deficit: make(map[string]float64), at: now}}
		if s.plan.restricted == nil {
			s.plan.restricted = make(map[regionplan.Set]*restrictedSource)
		}
		s.plan.restricted[set] = source
	}
	if source.planned == nil {
		// The next request of this set needs weights.
		s.plan.at = time.Time{}
	}
	work += time.Duration(source.cold * float64(r.Class.serviceTime(false)-work))
	source.usedAt = now
	source.demand.add(now, work)
	return work
}

// countRun counts whether a request that was assigned to a target runs warm there. Requests without a
// key are always cold and already count with that time; retries are not new demand.
func (b *Balancer) countRun(s *service, r *Request, warm bool) {
	if !r.HasKey || r.AlreadyCounted {
		return
	}
	source := s.plan.restricted[r.regions]
	if source == nil {
		return
	}
	cold := 1.0
	if warm {
		cold = 0
	}
	source.cold += coldRunSmoothing * (cold - source.cold)
}

// weightsFor returns the weights of the requests that may use the same regions as r.
func (b *Balancer) weightsFor(s *service, r *Request) *regionWeights {
	if source := s.plan.restricted[r.regions]; source != nil && source.weights.weight != nil {
		return &source.weights
	}
	return &s.weights
}

// stepPlan updates the region plan if it is due, and moves the weights of the source of a request
// towards it if that is restricted. The weights of other sources are not read before their next
// request. It returns the weights planned for unrestricted callers, or false if no demand is restricted.
func (b *Balancer) stepPlan(now time.Time, s *service, set regionplan.Set, capacity map[string]float64, rate float64) (map[string]float64, bool) {
	if len(b.names.names) == 0 {
		return nil, false
	}
	if b.planIsDue(now, s) {
		s.plan.at = now
		b.updatePlan(now, s, capacity)
	}
	if !s.plan.active {
		return nil, false
	}
	if source := s.plan.restricted[set]; source != nil {
		if source.weights.weight == nil {
			source.weights.weight = source.planned
		}
		source.weights.step(now, source.planned, rate)
	}
	return s.plan.planned, true
}

// planIsDue reports whether a service's region plan is to be computed again.
func (b *Balancer) planIsDue(now time.Time, s *service) bool {
	age, lost := now.Sub(s.plan.at), !b.lossAt.IsZero() && !b.lossAt.Before(s.plan.at)
	return s.plan.at.IsZero() || age >= s.plan.interval || lost && age >= lossPlanInterval
}

// updatePlan computes the region plan from the current demand and capacity.
func (b *Balancer) updatePlan(now time.Time, s *service, capacity map[string]float64) {
	s.plan.dropUnused(now)
	demand := b.sourcesOf(now, s)
	s.plan.interval = min(max(time.Duration(len(demand))*planIntervalPerSource, minPlanInterval), regionPlanInterval)
	unrestricted := regionplan.Source{Region: b.names.own, Allowed: b.names.all()}
	s.plan.active = len(s.plan.restricted) > 0
	for source := range demand {
		s.plan.active = s.plan.active || source.Allowed != unrestricted.Allowed
	}
	if !s.plan.active {
		s.plan.planned = nil
		return
	}
	slots := make([]float64, len(b.names.names))
	for i, name := range b.names.names {
		slots[i] = capacity[name]
	}
	plan := regionplan.Compute(slots, demand)
	s.plan.planned = b.names.byName(plan[unrestricted])
	for set, source := range s.plan.restricted {
		source.planned = b.names.byName(plan[regionplan.Source{Region: b.names.own, Allowed: set}])
	}
}

func (p *servicePlan) dropUnused(now time.Time) {
	for set, source := range p.restricted {
		if now.Sub(source.usedAt) >= restrictedTTL {
			delete(p.restricted, set)
		}
	}
}

// sourcesOf returns the demand for a service by source, in slots: that of this VM's callers and of all
// valid reports. It contains all sources of this VM.
func (b *Balancer) sourcesOf(now time.Time, s *service) map[regionplan.Source]float64 {
	demand := make(map[regionplan.Source]float64)
	b.addSources(demand, b.names.own, s.demand.slots, s.plan.slots(now))
	for _, p := range b.peers {
		if now.Sub(p.At) >= peerTTL {
			continue
		}
		for i, name := range b.names.names {
			if services, ok := p.Demand[name]; ok {
				b.addSources(demand, i, services[s.Name], p.Restricted[name][s.Name])
			}
		}
	}
	for set := range s.plan.restricted {
		demand[regionplan.Source{Region: b.names.own, Allowed: set}] += 0
	}
	demand[regionplan.Source{Region: b.names.own, Allowed: b.names.all()}] += 0
	return demand
}

// addSources adds the demand of one VM or of several in one region; total contains restricted.
// Restricted demand is scaled to the total if it exceeds it. Values that are no numbers are ignored.
func (b *Balancer) addSources(demand map[regionplan.Source]float64, region int, total float64, restricted map[uint32]float64) {
	if !isDemand(total) {
		return
	}
	valid := make(map[regionplan.Set]float64, len(restricted))
	wanted := 0.0
	// The order of additions decides the last digits, which must not differ between calls.
	for _, key := range slices.Sorted(maps.Keys(restricted)) {
		set, slots := regionplan.Set(key)&b.names.all(), restricted[key]
		if b.names.isRestricted(set) && isDemand(slots) && slots >= minRestrictedDemand {
			valid[set] += slots
			wanted += slots
		}
	}
	scale := min(1, total/wanted)
	for set, slots := range valid {
		demand[regionplan.Source{Region: region, Allowed: set}] += scale * slots
	}
	if total > wanted {
		demand[regionplan.Source{Region: region, Allowed: b.names.all()}] += total - wanted
	}
}

func isDemand(slots float64) bool { return slots > 0 && !math.IsInf(slots, 1) }

// slots returns the restricted demand of this VM's callers by set, in slots, nil for none.
func (p *servicePlan) slots(now time.Time) map[uint32]float64 {
	var slots map[uint32]float64
	for set, source := range p.restricted {
		source.demand.decay(now)
		if source.demand.slots < minRestrictedDemand {
			continue
		}
		if slots == nil {
			slots = make(map[uint32]float64, len(p.restricted))
		}
		slots[uint32(set)] = source.demand.slots
	}
	return slots
}
