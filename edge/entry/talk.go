package entry

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/peers"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// Names under which the sums of several VMs are kept: those of the own region and of
// all others, as a listener tells them.
const (
	regionSums      = "near"
	otherRegionSums = "far"
)

// regionName stands for the VMs of another region that report in sum.
func regionName(region string) string { return "region " + region }

// recipients returns who gets what.
func (e *Entry) recipients() exchange.Recipients {
	now := time.Now()
	g := e.members.Topology(now)
	own := e.options.VM.Name
	to := exchange.Recipients{Large: g.Large, SameRegion: peersOf(g.Aggregators, own)}
	listens := len(to.SameRegion) < len(g.Aggregators)
	e.digests.SetExpected(now, g.Large && !listens)
	e.regionState.setRole(role{
		listens: g.Large && listens, sends: g.Large && g.Aggregators[0].Name == own, missing: e.digests.Missing(now),
	})
	if listens {
		to.OtherRegions = peersOf(g.RemoteAggregators, own)
	}
	if g.Large && listens && g.Aggregators[0].Name == own {
		to.Digests = peersOf(append(g.SameDomain, g.Unreached...), own)
		to.Relays = peersOf(g.Relays, own)
	}
	return to
}

// relayTo returns the VMs to which this one passes a digest on.
func (e *Entry) relayTo() ([]exchange.Peer, exchange.Relay) {
	at, _ := e.replica.At()
	via := exchange.Relay{Peer: e.options.VM.PeerAddress, Revision: uint64(at)}
	return peersOf(e.members.Topology(time.Now()).SameDomain, e.options.VM.Name), via
}

func peersOf(vms []site.VM, but string) []exchange.Peer {
	list := make([]exchange.Peer, 0, len(vms))
	for _, vm := range vms {
		if vm.Name != but {
			list = append(list, exchange.Peer{Name: vm.Name, Address: vm.PeerAddress})
		}
	}
	return list
}

// state is the report on this VM, or on its region in sum.
func (e *Entry) state(sum bool) exchange.State {
	now := time.Now()
	at, _ := e.replica.At()
	s := exchange.State{
		VM: e.options.VM, Leaving: e.leaving.Load(), Serving: e.gateway.Ready(), StoreConnected: e.replica.Linked(),
		Revision: uint64(at), NoDigest: e.digests.Missing(now),
		// A sum goes to other regions, which have what came from them.
		Events: e.quarantine.PendingEvents(now, !sum),
	}
	if !sum {
		s.InFlight, s.Demand = e.balancer.Report(now)
		return s
	}
	inFlight, demand := e.balancer.RegionSums(now)
	s.InFlight, s.Demand = inFlight, demand
	return s
}

// digest is what all VMs of the region get.
func (e *Entry) digest(full bool) *exchange.Digest {
	now := time.Now()
	inFlight, demand := e.balancer.RegionSums(now)
	d := &exchange.Digest{InFlight: inFlight, Demand: demand}
	if !full {
		return d
	}
	inFlight, far := e.balancer.OtherRegionSums(now)
	d.Details = &exchange.DigestDetails{InFlight: inFlight, Demand: far}
	for name, state := range e.members.RegionStates() {
		d.Details.VMs = append(d.Details.VMs, exchange.VMStatus{
			Name: name, Age: now.Sub(state.At), Leaving: state.Leaving, Serving: state.Serving, StoreConnected: state.StoreConnected,
		})
	}
	return d
}

// received takes in a report of another VM.
func (e *Entry) received(ctx context.Context) func(exchange.State) {
	return func(s exchange.State) {
		now := time.Now()
		if e.members.Observe(s.VM, peers.State{At: now, Serving: s.Serving, Leaving: s.Leaving, StoreConnected: s.StoreConnected, NoDigest: s.NoDigest}) {
			e.delays.measure(s.VM.Region, s.VM.PeerAddress)
		}
		e.takeCounts(now, s)
		e.takeEvents(now, &s)
		if s.Relay != nil {
			e.replica.ObservePeer(ctx, s.Relay.Peer, true, store.Revision(s.Relay.Revision), now)
		}
		// A copy from a VM of the own failure domain costs no bytes between domains;
		// the listener's is for when the relay does not have the change soon.
		near := s.VM.Region == e.options.VM.Region && s.Relay == nil
		e.replica.ObservePeer(ctx, s.VM.PeerAddress, near, store.Revision(s.Revision), now)
	}
}

// takeEvents takes in what another VM saw of requests that end targets. A listener of a large
// region tells the others of it, and other regions what its own saw.
func (e *Entry) takeEvents(now time.Time, s *exchange.State) {
	if len(s.Events) == 0 {
		return
	}
	from := quarantine.Origin{
		VM: s.VM.Name, Relay: e.regionState.listens(), OtherRegion: s.VM.Region != e.options.VM.Region,
	}
	for _, event := range s.Events {
		e.quarantine.Received(now, event, from)
	}
}

// takeCounts takes in requests in flight and demand: of the VM, of its region, or of
// all VMs.
func (e *Entry) takeCounts(now time.Time, s exchange.State) {
	if s.Digest != nil {
		e.takeDigest(now, s.Digest)
		return
	}
	name := s.VM.Name
	if s.Sum {
		name = regionName(s.VM.Region)
	}
	e.balancer.SetPeerReport(now, name, &placing.PeerReport{
		InFlight: s.InFlight, Demand: map[string]map[string]float64{s.VM.Region: s.Demand}, Aggregated: s.Sum, At: now,
	})
}

func (e *Entry) takeDigest(now time.Time, d *exchange.Digest) {
	e.digests.Received(now)
	e.balancer.SetRegionSums(now, regionSums, d.InFlight, d.Demand)
	if d.Details == nil {
		return
	}
	e.balancer.SetPeerReport(now, otherRegionSums, &placing.PeerReport{InFlight: d.Details.InFlight, Demand: d.Details.Demand, Aggregated: true, At: now})
	for _, seen := range d.Details.VMs {
		e.members.ObserveIndirect(seen.Name, peers.State{
			At: now.Add(-seen.Age), Serving: seen.Serving, Leaving: seen.Leaving, StoreConnected: seen.StoreConnected,
		})
	}
}
