package placing

import "time"

// Peer is what another VM tells, of itself or of several VMs.
type Peer struct {
	// InHand counts requests at targets, by KeyOf.
	InHand map[uint32]int
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
	sum := make(map[uint32]int)
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
			t.others = sum[KeyOf(t.hash)]
		}
	}
}

// Report returns what other VMs are told.
func (b *Board) Report(now time.Time) (inHand map[uint32]int, needs map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported.inHand, b.reported.needs = b.ownPart(now)
	return b.reported.inHand, b.reported.needs
}

// report is what this VM told last. It is not changed any more.
type report struct {
	inHand map[uint32]int
	needs  map[string]float64
}

func (b *Board) ownPart(now time.Time) (inHand map[uint32]int, needs map[string]float64) {
	inHand, needs = make(map[uint32]int), make(map[string]float64)
	for name, s := range b.services {
		s.demand.decay(now)
		needs[name] = s.demand.slots
		for _, t := range s.targets {
			if t.own > 0 {
				inHand[KeyOf(t.hash)] += t.own
			}
		}
	}
	return inHand, needs
}

// SetNear takes in the sums of all VMs of the own region, and takes out of them what this
// VM told last: its own requests would else count twice.
func (b *Board) SetNear(now time.Time, name string, inHand map[uint32]int, needs map[string]float64) {
	b.mu.Lock()
	own := b.reported
	b.mu.Unlock()
	others := &Peer{InHand: make(map[uint32]int, len(inHand)), Sum: true, At: now}
	for key, n := range inHand {
		if n -= own.inHand[key]; n > 0 {
			others.InHand[key] = n
		}
	}
	left := make(map[string]float64, len(needs))
	for service, slots := range needs {
		left[service] = max(0, slots-own.needs[service])
	}
	others.Demand = map[string]map[string]float64{b.options.Region: left}
	b.SetPeer(now, name, others)
}

// FarSums returns what other regions have told in sum.
func (b *Board) FarSums(now time.Time) (inHand map[uint32]int, needs map[string]map[string]float64) {
	inHand, needs = make(map[uint32]int), make(map[string]map[string]float64)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if _, near := p.Demand[b.options.Region]; near || now.Sub(p.At) >= peerLife {
			continue
		}
		for key, n := range p.InHand {
			inHand[key] += n
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

// NearSums returns what the VMs of the own region have told of themselves, and this
// VM's own part.
func (b *Board) NearSums(now time.Time) (inHand map[uint32]int, needs map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inHand, needs = b.ownPart(now)
	for _, p := range b.peers {
		services, near := p.Demand[b.options.Region]
		if !near || p.Sum || now.Sub(p.At) >= peerLife {
			continue
		}
		for key, n := range p.InHand {
			inHand[key] += n
		}
		for service, slots := range services {
			needs[service] += slots
		}
	}
	return inHand, needs
}
