package placing

import (
	"cmp"
	"slices"
	"time"
)

// SetReached sets whether this VM reaches the targets of a service in a region. Those that it does not
// reach get no requests and no health probes. Once it reaches them again, what it has believed of their
// speed and failures meanwhile is void, and those that it could not connect to are probed one after the
// other.
func (b *Balancer) SetReached(now time.Time, serviceName, region string, reached bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[serviceName]
	if s == nil || s.unreached[region] == !reached {
		return
	}
	if reached {
		delete(s.unreached, region)
	} else {
		s.unreached[region] = true
		b.lossAt = now
	}
	next := now
	for _, t := range s.regions[region] {
		t.unreached = !reached
		if !reached {
			continue
		}
		t.failures, t.slowdown, t.ejection = 0, 1, 0
		if t.needsProbe {
			t.ejectedUntil = next
			next = next.Add(returnProbeInterval)
		}
	}
	b.serveAll(now)
}

// returnProbeInterval is the time between the probes of two targets that are reached again.
const returnProbeInterval = 50 * time.Millisecond

// CountTargets returns how many targets that neither leave nor are evacuated each service has in each
// region.
func (b *Balancer) CountTargets(visit func(service, region string, targets int)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, s := range b.services {
		for region, targets := range s.regions {
			n := 0
			for _, t := range targets {
				if t.usable {
					n++
				}
			}
			visit(name, region, n)
		}
	}
}

// TargetsToProbe returns at most n targets of a service in a region whose answer shows that they are
// reached, other ones in each round. A probe of each takes a permit of its limit.
func (b *Balancer) TargetsToProbe(now time.Time, serviceName, region string, n, round int) []*Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[serviceName]
	if s == nil {
		return nil
	}
	var list []*Target
	targets := s.regions[region]
	for i := range targets {
		t := targets[(i+round*n)%len(targets)]
		if len(list) < n && t.usable && !t.stated.isResting(now) && t.takePermit() {
			list = append(list, t)
		}
	}
	return list
}

// isCutOff reports whether this VM reaches no target that may serve a request, although some are listed.
func (s *service) isCutOff(r *Request) bool {
	if len(s.unreached) == 0 {
		return false
	}
	found := false
	for region, targets := range s.regions {
		if !r.allows(region) || !slices.ContainsFunc(targets, func(t *Target) bool { return t.usable }) {
			continue
		}
		if !s.unreached[region] {
			return false
		}
		found = true
	}
	return found
}

// UsableRegions returns the regions with targets that may serve a request, reached or not.
func (b *Balancer) UsableRegions(r *Request) (regions []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[r.Service]
	if s == nil {
		return nil
	}
	for region, targets := range s.regions {
		if r.allows(region) && slices.ContainsFunc(targets, func(t *Target) bool { return t.usable }) {
			regions = append(regions, region)
		}
	}
	return regions
}

// OtherTargets returns at most n usable targets at other addresses than that of t: of its service in its
// region first, then of its region.
func (b *Balancer) OtherTargets(t *Target, n int) []*Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var others []*Target
	for _, s := range b.services {
		for _, other := range s.targets {
			if other.usable && other.Address != t.Address {
				others = append(others, other)
			}
		}
	}
	slices.SortFunc(others, func(x, y *Target) int {
		return cmp.Or(cmp.Compare(t.distance(x), t.distance(y)), cmp.Compare(Rendezvous(t.hash, x.hash), Rendezvous(t.hash, y.hash)))
	})
	return others[:min(n, len(others))]
}

// distance ranks another target by whether it is of the same service and region.
func (t *Target) distance(other *Target) int {
	switch {
	case other.Region == t.Region && other.Service == t.Service:
		return 0
	case other.Region == t.Region:
		return 1
	}
	return 2
}
