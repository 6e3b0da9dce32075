package placing

import "time"

// PeerReport is a report of another VM, on itself or on several VMs.
type PeerReport struct {
	// InFlight counts requests at targets, by TargetKey.
	InFlight map[uint32]int
	// Demand is the slots that callers' requests need, by region and service.
	Demand map[string]map[string]float64
	// Aggregated tells that these are the sums of several VMs.
	Aggregated bool
	At         time.Time
}

// SetPeerReport takes in what another VM reports; nil forgets it. A Peer is not changed
// afterwards.
func (b *Balancer) SetPeerReport(now time.Time, name string, p *PeerReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	b.replacePeer(name, p)
	b.serveAll(now)
}

// replacePeer counts what a VM reports in place of its last report. Only the targets
// that it names are touched.
func (b *Balancer) replacePeer(name string, p *PeerReport) {
	if old := b.peers[name]; old != nil {
		for key, n := range old.InFlight {
			b.remoteCountOf(key).n -= n
		}
		delete(b.peers, name)
	}
	if p == nil {
		return
	}
	b.peers[name] = p
	for key, n := range p.InFlight {
		b.remoteCountOf(key).n += n
	}
}

// remoteCount is how many requests other VMs have in flight at a target.
type remoteCount struct{ n int }

func (b *Balancer) remoteCountOf(key uint32) *remoteCount {
	h := b.remote[key]
	if h == nil {
		h = &remoteCount{}
		b.remote[key] = h
	}
	return h
}

// expirePeers drops what is too old to be trusted.
//
// Guard against counts that outlive the VMs that reported them: all others are cut off,
// and their targets stay full for this VM. The guard holds because it does not wait for a
// report, it runs with each tick.
func (b *Balancer) expirePeers(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.At) >= peerTTL {
			b.replacePeer(name, nil)
		}
	}
}

// countsAge is the age of the oldest counts of other VMs that decisions still use.
func (b *Balancer) countsAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range b.peers {
		if age := now.Sub(p.At); age < peerTTL {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Report returns what this VM reports to others.
func (b *Balancer) Report(now time.Time) (inFlight map[uint32]int, needs map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastReport.inFlight, b.lastReport.needs = b.localCounts(now)
	return b.lastReport.inFlight, b.lastReport.needs
}

// report is what this VM reported last. It is not changed any more.
type report struct {
	inFlight map[uint32]int
	needs    map[string]float64
}

func (b *Balancer) localCounts(now time.Time) (inFlight map[uint32]int, needs map[string]float64) {
	inFlight, needs = make(map[uint32]int), make(map[string]float64)
	for name, s := range b.services {
		s.demand.decay(now)
		needs[name] = s.demand.slots
		for _, t := range s.targets {
			if t.local > 0 {
				inFlight[TargetKey(t.hash)] += t.local
			}
		}
	}
	return inFlight, needs
}

// SetRegionSums takes in the sums of all VMs of the own region, and takes out of them what
// this VM reported last: its own requests would else count twice.
func (b *Balancer) SetRegionSums(now time.Time, name string, inFlight map[uint32]int, needs map[string]float64) {
	b.mu.Lock()
	own := b.lastReport
	b.mu.Unlock()
	others := &PeerReport{InFlight: make(map[uint32]int, len(inFlight)), Aggregated: true, At: now}
	for key, n := range inFlight {
		if n -= own.inFlight[key]; n > 0 {
			others.InFlight[key] = n
		}
	}
	left := make(map[string]float64, len(needs))
	for service, slots := range needs {
		left[service] = max(0, slots-own.needs[service])
	}
	others.Demand = map[string]map[string]float64{b.options.Region: left}
	b.SetPeerReport(now, name, others)
}

// OtherRegionSums returns the sums of other regions' reports.
func (b *Balancer) OtherRegionSums(now time.Time) (inFlight map[uint32]int, needs map[string]map[string]float64) {
	inFlight, needs = make(map[uint32]int), make(map[string]map[string]float64)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if _, near := p.Demand[b.options.Region]; near || now.Sub(p.At) >= peerTTL {
			continue
		}
		for key, n := range p.InFlight {
			inFlight[key] += n
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
	return inFlight, needs
}

// RegionSums returns the sums of the reports of the own region's VMs, with this VM's
// own part.
func (b *Balancer) RegionSums(now time.Time) (inFlight map[uint32]int, needs map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inFlight, needs = b.localCounts(now)
	for _, p := range b.peers {
		services, near := p.Demand[b.options.Region]
		if !near || p.Aggregated || now.Sub(p.At) >= peerTTL {
			continue
		}
		for key, n := range p.InFlight {
			inFlight[key] += n
		}
		for service, slots := range services {
			needs[service] += slots
		}
	}
	return inFlight, needs
}
