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

// SetPeer takes in what another VM tells; nil forgets it. A Peer is not changed
// afterwards.
func (b *Board) SetPeer(now time.Time, name string, p *Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetSilent(now)
	b.replacePeer(name, p)
	b.serveAll(now)
}

// replacePeer counts what a VM tells in place of what it told before. Only the targets
// that it names are touched: with 3,000 targets and 100 VMs a report takes 1.9 us, and
// 131 us when all counts are summed up anew (BenchmarkHearReport).
func (b *Board) replacePeer(name string, p *Peer) {
	if old := b.peers[name]; old != nil {
		for key, n := range old.InHand {
			b.heardAt(key).n -= n
		}
		delete(b.peers, name)
	}
	if p == nil {
		return
	}
	b.peers[name] = p
	for key, n := range p.InHand {
		b.heardAt(key).n += n
	}
}

// heard is how many requests other VMs have at a target.
type heard struct{ n int }

func (b *Board) heardAt(key uint32) *heard {
	h := b.heard[key]
	if h == nil {
		h = &heard{}
		b.heard[key] = h
	}
	return h
}

// forgetSilent drops what is too old to be trusted.
//
// Guard against counts that outlive the VMs that told them: all others are cut off, and
// their targets stay full for this VM. The guard holds because it does not wait for a
// report, it runs with each tick.
func (b *Board) forgetSilent(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.At) >= peerLife {
			b.replacePeer(name, nil)
		}
	}
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
