package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// SetWorkingSetRole sets this VM's part in the decisions on its region.
func (b *Balancer) SetWorkingSetRole(role WorkingSetRole) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sets.role = role
}

// tickWorkingSets decides on the working sets of this region if that is this VM's task, and lets the
// fractions of regions grow whose VMs are not heard.
func (b *Balancer) tickWorkingSets(now time.Time) {
	if !b.options.Policy.WorkingSet {
		return
	}
	if b.sets.firstTick.IsZero() {
		b.sets.firstTick = now
	}
	if now.Sub(b.sets.steppedAt) < workingset.StepInterval {
		return
	}
	b.sets.steppedAt = now
	for name, p := range b.sets.loads {
		if now.Sub(p.at) >= workingSetLoadTTL {
			delete(b.sets.loads, name)
		}
	}
	b.decideWorkingSets(now)
	for _, ring := range b.sets.rings {
		ring.Tick(now)
	}
}

// decideWorkingSets decides on this region if that is this VM's task. A standby that has begun to decide
// goes on until it hears from the VM whose task it is. While nothing is limited no decisions are sent, so
// that a standby begins if it would have limited a scope for as long as a deciding VM may be silent.
func (b *Balancer) decideWorkingSets(now time.Time) {
	ring := b.ring(now, b.options.Region)
	decider, _ := ring.Decider()
	isStandby := b.sets.role == WorkingSetStandby
	switch {
	case b.sets.role == NoWorkingSetRole, now.Sub(b.sets.firstTick) < workingSetListening,
		isStandby && decider != b.options.VM && !ring.IsSilent(now):
		b.stopDeciding(now)
		return
	}
	scopes, ok := b.nextFractions(now, ring)
	if !ok {
		b.stopDeciding(now)
		return
	}
	begins := isStandby && !ring.Limits()
	if !begins || !limitsAny(scopes) {
		b.sets.unlimitedAt = now
	}
	if begins && now.Sub(b.sets.unlimitedAt) <= workingset.SilentAfter {
		return
	}
	ring.Decide(now, b.options.VM, scopes)
}

// stopDeciding drops what only a VM that decides keeps up to date: a controller that has missed decisions
// would misjudge the measured arrivals.
func (b *Balancer) stopDeciding(now time.Time) {
	b.sets.unlimitedAt = now
	for _, s := range b.services {
		if c := s.scopes[b.options.Region]; c != nil {
			c.controller = nil
		}
	}
}

func limitsAny(scopes map[workingset.ScopeID]workingset.Fractions) bool {
	for _, f := range scopes {
		if f.Limits() {
			return true
		}
	}
	return false
}

// nextFractions makes one step for all services of this region that have had requests which may run here
// only. It returns false if this VM does not reach the targets of one of them, as it does not know their
// load, or if there are no slots: the standby takes over when decisions are overdue.
func (b *Balancer) nextFractions(now time.Time, ring *workingset.Ring) (map[workingset.ScopeID]workingset.Fractions, bool) {
	region := b.options.Region
	measured := b.measuredScopes(now)
	scopes := make(map[workingset.ScopeID]workingset.Fractions)
	slots := 0.0
	for _, s := range b.services {
		id := workingset.ScopeOf(s.Name, region)
		f := ring.Fractions(id)
		m := measured[id]
		if m == nil && !f.Limits() {
			if c := s.scopes[region]; c != nil {
				c.controller = nil
			}
			continue
		}
		if s.unreached[region] {
			return nil, false
		}
		if m == nil {
			m = &workingset.Measured{}
		}
		c := b.scopeIn(now, s, region)
		s.measureRegion(now, region, c, m)
		slots += m.Slots
		if c.controller == nil {
			c.controller = workingset.NewController(f)
		}
		scopes[id], c.decided = c.controller.Step(f, m)
	}
	return scopes, slots > 0
}

// measureRegion adds the slots of a region and those that requests outside the scope hold. Targets that
// only this VM does not use, such as ejected ones, count: it decides for all VMs.
func (s *service) measureRegion(now time.Time, region string, c *scope, m *workingset.Measured) {
	inFlight := 0
	for _, t := range s.regions[region] {
		if t.usable && !t.stated.isResting(now) {
			m.Slots += t.usableSlots(s.occupancy.mean)
			inFlight += t.inFlight()
		}
	}
	others := max(0, float64(inFlight-m.Total().InFlight))
	c.others += othersSmoothing * (others - c.others)
	m.Others = c.others
}

// measuredScopes returns the load of all VMs by scope.
func (b *Balancer) measuredScopes(now time.Time) map[workingset.ScopeID]*workingset.Measured {
	sums := make(map[workingset.ScopeID]*workingset.Measured)
	add := func(loads []workingset.RankLoad) {
		for _, l := range loads {
			if sums[l.Scope] == nil {
				sums[l.Scope] = &workingset.Measured{}
			}
			sums[l.Scope].Add(l.Rank, l.Load)
		}
	}
	add(b.ownLoads(now))
	for _, p := range b.sets.loads {
		if now.Sub(p.at) < workingSetLoadTTL {
			add(p.loads)
		}
	}
	return sums
}

// ownLoads returns what this VM has measured.
func (b *Balancer) ownLoads(now time.Time) (loads []workingset.RankLoad) {
	for _, s := range b.services {
		for _, c := range s.scopes {
			for rank := range c.meters {
				l := c.meters[rank].Load(now)
				if l.Arrivals >= minReportedRate || l.Busy >= minReportedBusy || l.InFlight > 0 {
					loads = append(loads, workingset.RankLoad{Scope: c.id, Rank: rank, Load: l})
				}
			}
		}
	}
	return loads
}

const (
	// minReportedRate (requests a second) and minReportedBusy (per second) are the least rates that are
	// reported: a scope without requests is left out ten seconds after its last one.
	minReportedRate = 0.01
	minReportedBusy = 5 * time.Millisecond
)
