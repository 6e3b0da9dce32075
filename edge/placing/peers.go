package placing

import "time"

// PeerReport is a report from another VM, about itself or a group of VMs.
type PeerReport struct {
	// InFlight counts requests by TargetKey.
	InFlight map[uint32]int
	// Demand is the offered load in slots, by region and service.
	Demand map[string]map[string]float64
	// Restricted is the part of Demand that may run in some regions only, by region of the callers.
	Restricted map[string]RestrictedDemand
	// Aggregated is set if the values are sums over several VMs.
	Aggregated bool
	At         time.Time
}

// SetPeerReport replaces the report of another VM; nil removes it. The report must not be
// modified afterwards.
func (b *Balancer) SetPeerReport(now time.Time, name string, p *PeerReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	b.replacePeer(name, p)
	b.releaseHeld(now)
	b.serveAll(now)
}

// replacePeer replaces a VM's report and updates the remote counts of the targets in either.
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

// remoteCount is the number of requests that other VMs have in flight at a target.
type remoteCount struct{ n int }

func (b *Balancer) remoteCountOf(key uint32) *remoteCount {
	h := b.remote[key]
	if h == nil {
		h = &remoteCount{}
		b.remote[key] = h
	}
	return h
}

// expirePeers removes expired reports. It runs on every tick and does not depend on new
// reports, so that targets do not stay full if all other VMs become unreachable.
func (b *Balancer) expirePeers(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.At) >= peerTTL {
			b.replacePeer(name, nil)
		}
	}
}

// countsAge returns the age of the oldest valid peer report.
func (b *Balancer) countsAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range b.peers {
		if age := now.Sub(p.At); age < peerTTL {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Report returns the in-flight counts and the demand that this VM reports to others.
func (b *Balancer) Report(now time.Time) (inFlight map[uint32]int, demand map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastReport.inFlight, b.lastReport.demand = b.localCounts(now)
	return b.lastReport.inFlight, b.lastReport.demand
}

// report is the last report of this VM. Its maps are not modified once published.
type report struct {
	inFlight map[uint32]int
	demand   map[string]float64
	// restricted is that of ReportRestricted.
	restricted RestrictedDemand
}

func (b *Balancer) localCounts(now time.Time) (inFlight map[uint32]int, demand map[string]float64) {
	inFlight, demand = make(map[uint32]int), make(map[string]float64)
	for name, s := range b.services {
		s.demand.decay(now)
		demand[name] = s.demand.slots
		for _, t := range s.targets {
			// A target that is not reached does not get what is on its way to it.
			if t.local > 0 && !t.unreached {
				inFlight[TargetKey(t.hash)] += t.local
			}
		}
	}
	return inFlight, demand
}

// SetRegionSums stores the sums over all VMs of the local region as a peer report. It
// subtracts this VM's last report, so that its own requests do not count twice.
func (b *Balancer) SetRegionSums(now time.Time, name string, inFlight map[uint32]int, demand map[string]float64, restricted RestrictedDemand) {
	b.mu.Lock()
	own := b.lastReport
	b.mu.Unlock()
	others := &PeerReport{InFlight: make(map[uint32]int, len(inFlight)), Aggregated: true, At: now}
	for key, n := range inFlight {
		if n -= own.inFlight[key]; n > 0 {
			others.InFlight[key] = n
		}
	}
	remaining := make(map[string]float64, len(demand))
	for service, slots := range demand {
		remaining[service] = max(0, slots-own.demand[service])
	}
	others.Demand = map[string]map[string]float64{b.options.Region: remaining}
	others.Restricted = map[string]RestrictedDemand{b.options.Region: own.withoutOwn(restricted)}
	b.SetPeerReport(now, name, others)
}

// OtherRegionSums returns the sums over the reports from other regions.
func (b *Balancer) OtherRegionSums(now time.Time) (inFlight map[uint32]int, demand map[string]map[string]float64) {
	inFlight, demand = make(map[uint32]int), make(map[string]map[string]float64)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if _, local := p.Demand[b.options.Region]; local || now.Sub(p.At) >= peerTTL {
			continue
		}
		for key, n := range p.InFlight {
			inFlight[key] += n
		}
		for region, services := range p.Demand {
			if demand[region] == nil {
				demand[region] = make(map[string]float64)
			}
			for service, slots := range services {
				demand[region][service] += slots
			}
		}
	}
	return inFlight, demand
}

// RegionSums returns the sums over the VMs of the local region, including this one.
func (b *Balancer) RegionSums(now time.Time) (inFlight map[uint32]int, demand map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inFlight, demand = b.localCounts(now)
	for _, p := range b.peers {
		services, local := p.Demand[b.options.Region]
		if !local || p.Aggregated || now.Sub(p.At) >= peerTTL {
			continue
		}
		for key, n := range p.InFlight {
			inFlight[key] += n
		}
		for service, slots := range services {
			demand[service] += slots
		}
	}
	return inFlight, demand
}
