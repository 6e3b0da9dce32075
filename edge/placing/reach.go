package placing

import "time"

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
