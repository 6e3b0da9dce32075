package placing

import "time"

// Peer is what another VM tells, of itself or of several VMs.
type Peer struct {
	// InHand counts requests at targets, by HashOf of the target's id.
	InHand map[uint64]int
	// Demand is the slots that callers' requests need, by region and service.
	Demand map[string]map[string]float64
	// Sum tells that these are the sums of several VMs.
	Sum bool
	At  time.Time
}

// SetPeer takes in what another VM tells; nil forgets it.
func (b *Board) SetPeer(now time.Time, name string, p *Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p == nil {
		delete(b.peers, name)
	} else {
		b.peers[name] = p
	}
	b.sumPeers(now)
	b.serveAll(now)
}

// heardAge is the age of the oldest counts of other VMs that decisions still use.
func (b *Board) heardAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range b.peers {
		if age := now.Sub(p.At); age < peerLife {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

func (b *Board) sumPeers(now time.Time) {
	sum := make(map[uint64]int)
	for _, p := range b.peers {
		if now.Sub(p.At) >= peerLife {
			continue
		}
		for target, n := range p.InHand {
			sum[target] += n
		}
	}
	for _, s := range b.services {
		for _, t := range s.targets {
			t.others = sum[t.hash]
		}
	}
}

// Report returns what other VMs are told.
func (b *Board) Report(now time.Time) (inHand map[uint64]int, needs map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inHand, needs = make(map[uint64]int), make(map[string]float64)
	for name, s := range b.services {
		s.demand.decay(now)
		needs[name] = s.demand.slots
		for _, t := range s.targets {
			if t.own > 0 {
				inHand[t.hash] = t.own
			}
		}
	}
	return inHand, needs
}

// Sums returns what all VMs but one have told, and this VM's own part.
func (b *Board) Sums(now time.Time, but string) (inHand map[uint64]int, needs map[string]map[string]float64) {
	own, ownNeeds := b.Report(now)
	inHand, needs = own, map[string]map[string]float64{b.options.Region: ownNeeds}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		if name == but || now.Sub(p.At) >= peerLife {
			continue
		}
		for target, n := range p.InHand {
			inHand[target] += n
		}
		for region, services := range p.Demand {
			if needs[region] == nil {
				needs[region] = make(map[string]float64)
			}
			for service, slots := range services {
				needs[region][service] += slots
			}
		}
	}
	return inHand, needs
}

// RegionSums returns what the VMs of the own region have told of themselves, and this
// VM's own part.
func (b *Board) RegionSums(now time.Time) (inHand map[uint64]int, needs map[string]float64) {
	own := b.options.Region
	inHand, needs = b.Report(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		services, near := p.Demand[own]
		if !near || p.Sum || now.Sub(p.At) >= peerLife {
			continue
		}
		for target, n := range p.InHand {
			inHand[target] += n
		}
		for service, slots := range services {
			needs[service] += slots
		}
	}
	return inHand, needs
}
