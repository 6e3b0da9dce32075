package placing

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// TargetSpec is a registered target and the end of its cold period.
type TargetSpec struct {
	site.Target
	ColdUntil time.Time
}

// SetTargets replaces the services and targets. Targets in evacuated failure domains get no
// requests.
func (b *Balancer) SetTargets(now time.Time, services map[string]site.Service, list []TargetSpec, evacuated map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		if !b.isKnown(services, l) {
			continue
		}
		listed[l.ID] = true
		b.setTarget(now, b.ensureService(services, l.Service), l, evacuated[l.Zone])
	}
	for _, s := range b.services {
		for id, t := range s.targets {
			if !listed[id] {
				t.usable, t.leaving = false, true
				delete(s.targets, id)
			}
		}
		s.groupByRegion()
		b.setColdRate(s, services[s.Name].ColdRate)
	}
	b.indexByKey()
	b.serveAll(now)
}

// isKnown reports whether the service and the failure domain of a target are configured.
// Other targets would count as capacity of a region that does not exist.
func (b *Balancer) isKnown(services map[string]site.Service, l TargetSpec) bool {
	_, service := services[l.Service]
	_, zone := b.options.RegionOf[l.Zone]
	return service && zone
}

func (b *Balancer) ensureService(services map[string]site.Service, name string) *service {
	s := b.services[name]
	if s == nil {
		known := services[name]
		known.Name = name
		s = newService(known)
		if b.options.Policy.FairShares {
			s.queue.work = b.work
		}
		b.services[name] = s
	}
	if known, ok := services[name]; ok {
		// Keeps the old rate, so that setColdRate detects the change.
		known.ColdRate = s.ColdRate
		s.Service = known
	}
	return s
}

func (b *Balancer) setTarget(now time.Time, s *service, l TargetSpec, evacuated bool) {
	t := s.targets[l.ID]
	if t == nil || t.Address != l.Address || t.Zone != l.Zone || t.StartedMillis != l.StartedMillis {
		// A restarted target is cold and its statistics are void. Requests still in flight
		// are counted at the old Target.
		if t != nil {
			t.usable, t.leaving = false, true
		}
		t = b.newTarget(l)
		t.unreached = s.unreached[t.Region]
		s.targets[l.ID] = t
		t.cold.rate = b.coldRate(s, t)
	}
	if t.Draining && !l.Draining && t.stated != nil {
		// The registration had told of the drain, so it is newer than the target's statement.
		t.stated.leaving = false
	}
	t.Draining = l.Draining
	leaving := l.Draining || t.stated.isLeaving()
	usable := !leaving && !evacuated
	if usable && t.evacuated {
		// The target may have become cold during the evacuation.
		t.coldUntil = now.Add(s.ColdTime)
	}
	t.usable, t.evacuated, t.leaving = usable, evacuated, leaving
	// The identifying fields are not updated: the request path reads them without the lock.
	t.Slots = t.load.slotsOf(l.Slots)
	t.rtt = b.options.RTT(t.Region)
	if l.ColdRemaining > 0 && l.ColdUntil.Add(coldMargin).After(t.coldUntil) {
		t.coldUntil = l.ColdUntil.Add(coldMargin)
	}
}

func (b *Balancer) newTarget(l TargetSpec) *Target {
	region, hash := b.options.RegionOf[l.Zone], HashOf(l.ID)
	t := &Target{
		Target: l.Target, Region: region, Incarnation: incarnationOf(&l.Target), hash: hash, rtt: b.options.RTT(region), remote: b.remoteCountOf(TargetKey(hash)),
		warm: make(map[uint64]time.Time), slowdown: 1,
	}
	t.limit = b.limitOf(t)
	t.stated = b.statements.byIncarnation[t.Incarnation]
	return t
}

// IsLeaving reports whether a target is draining or no longer registered, so that its
// shutdown is expected.
func (b *Balancer) IsLeaving(t *Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return t.leaving
}

func (s *service) groupByRegion() {
	s.regions = make(map[string][]*Target)
	for _, t := range s.targets {
		s.regions[t.Region] = append(s.regions[t.Region], t)
	}
	for _, list := range s.regions {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}
