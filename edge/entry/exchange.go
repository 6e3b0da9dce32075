package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/peers"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// Peer names under which aggregated counts are kept: of the own region, and of all
// other regions as reported by a listener.
const (
	regionSums      = "near"
	otherRegionSums = "far"
)

// regionPeerName returns the peer name for the aggregated counts of another region.
func regionPeerName(region string) string { return "region " + region }

// recipients returns the VMs that get this VM's reports and digests.
func (e *Entry) recipients() exchange.Recipients {
	now := e.now()
	g := e.members.Topology(now)
	own := e.options.VM.Name
	to := exchange.Recipients{Large: g.Large, SameRegion: peersOf(g.Aggregators, own)}
	listens := len(to.SameRegion) < len(g.Aggregators)
	e.digests.SetExpected(now, g.Large && !listens)
	e.regionState.setRole(role{
		listens: g.Large && listens, sendsDigests: g.Large && g.Aggregators[0].Name == own, digestsMissing: e.digests.Missing(now),
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

// relayTo returns the VMs to which this one forwards a digest.
func (e *Entry) relayTo() ([]exchange.Peer, exchange.Relay) {
	at, _ := e.replica.Revision()
	via := exchange.Relay{Peer: e.options.VM.PeerAddress, Revision: uint64(at)}
	return peersOf(e.members.Topology(e.now()).SameDomain, e.options.VM.Name), via
}

func peersOf(vms []site.VM, except string) []exchange.Peer {
	list := make([]exchange.Peer, 0, len(vms))
	for _, vm := range vms {
		if vm.Name != except {
			list = append(list, exchange.Peer{Name: vm.Name, Address: vm.PeerAddress})
		}
	}
	return list
}

// state returns the report on this VM, or the aggregated one on its region.
func (e *Entry) state(sum bool) exchange.State {
	now := time.Now()
	at, _ := e.replica.Revision()
	s := exchange.State{
		VM: e.options.VM, Leaving: e.shuttingDown.Load(), Serving: e.gateway.Ready(), StoreConnected: e.replica.Connected(),
		Revision: uint64(at), NoDigest: e.digests.Missing(e.now()),
		// Aggregated reports go to other regions, which already know their own events.
		Events: e.quarantine.PendingEvents(now, !sum), LeavingTargets: e.leavingTargets.Pending(now, !sum),
	}
	if retained := e.replica.Retained(); retained != (replica.Span{}) {
		s.Retained = &retained
	}
	s.Unreached, s.CutOff = e.gateway.Unreached()
	if !sum {
		s.InFlight, s.Demand = e.balancer.Report(now)
		s.SlowTargets = e.balancer.SlowTargets(now, false)
		s.Restricted = e.balancer.ReportRestricted(now)
		return s
	}
	inFlight, demand := e.balancer.RegionSums(now)
	s.InFlight, s.Demand, s.Restricted = inFlight, demand, e.balancer.RestrictedRegionSums(now)
	return s
}

// limitsToAnnounce returns the limits of targets for a report, nil if none are due.
func (e *Entry) limitsToAnnounce(otherRegions bool) []ratelimit.Announced {
	return e.targetLimits.announcement(e.now(), otherRegions)
}

// addToFew adds what only few reports have.
func (e *Entry) addToFew(s *exchange.State, otherRegions bool) {
	e.workingSets.addTo(s, otherRegions)
	e.fairShares.addTo(s, otherRegions)
}

// digest returns the digest for the VMs of the region.
func (e *Entry) digest(full bool) *exchange.Digest {
	now := time.Now()
	inFlight, demand := e.balancer.RegionSums(now)
	d := &exchange.Digest{
		InFlight: inFlight, Demand: demand, SlowTargets: e.balancer.SlowTargets(now, true), Restricted: e.balancer.RestrictedRegionSums(now),
	}
	d.AccountWork = e.fairShares.digestWork(now)
	if !full {
		return d
	}
	d.Arcs = e.workingSets.digestArcs(now)
	inFlight, far := e.balancer.OtherRegionSums(now)
	d.Details = &exchange.DigestDetails{InFlight: inFlight, Demand: far, Limits: e.targetLimits.table.Announcement(e.now())}
	for region, restricted := range e.balancer.RestrictedOtherRegionSums(now) {
		if d.Details.Restricted == nil {
			d.Details.Restricted = make(map[string]exchange.Restricted)
		}
		d.Details.Restricted[region] = restricted
	}
	for name, state := range e.members.RegionStates() {
		d.Details.VMs = append(d.Details.VMs, exchange.VMStatus{
			Name: name, Age: e.now().Sub(state.At), Leaving: state.Leaving, Serving: state.Serving, StoreConnected: state.StoreConnected,
		})
		if len(state.Unreached) > 0 {
			d.Details.Cut = append(d.Details.Cut, exchange.VMReach{Name: name, Unreached: state.Unreached, CutOff: state.CutOff})
		}
	}
	return d
}

// received returns the handler of reports from other VMs.
func (e *Entry) received(ctx context.Context) func(exchange.State) {
	return func(s exchange.State) {
		now := time.Now()
		if e.members.Observe(s.VM, peers.State{
			At: e.now(), Serving: s.Serving, Leaving: s.Leaving, StoreConnected: s.StoreConnected, NoDigest: s.NoDigest,
			Unreached: s.Unreached, CutOff: s.CutOff,
		}) {
			e.roundTrips.measure(s.VM.Region, s.VM.PeerAddress)
		}
		if s.StoreConnected {
			e.outages.StoreReached(now)
		}
		if at, loaded := e.replica.Revision(); loaded && s.StoreConnected && s.Revision <= uint64(at) {
			e.contact.confirm()
		}
		e.applyCounts(now, s)
		e.applySlowTargets(now, &s)
		e.applyEvents(now, &s)
		e.applyLeavingTargets(now, &s)
		e.workingSets.apply(now, &s)
		e.fairShares.apply(now, &s)
		e.targetLimits.merge(e.now(), s.VM.Name, s.Limits)
		if s.Relay != nil {
			e.replica.ObservePeer(ctx, s.Relay.Peer, true, store.Revision(s.Relay.Revision), now)
		}
		// Snapshots from a VM of the own failure domain cause no traffic between domains;
		// the listener is the fallback for a relay that lacks the change.
		near := s.VM.Region == e.options.VM.Region && s.Relay == nil
		e.replica.ObservePeer(ctx, s.VM.PeerAddress, near, store.Revision(s.Revision), now)
		if s.Retained != nil {
			e.replica.ObserveRetained(ctx, s.VM.PeerAddress, store.Revision(s.Revision), *s.Retained)
		}
	}
}

// applyEvents passes another VM's crash events to the quarantine. A listener of a large
// region relays them to the region, and its region's events to other regions.
func (e *Entry) applyEvents(now time.Time, s *exchange.State) {
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

// tellLeavingTarget tells other VMs that a target has stated in an answer that it leaves.
func (e *Entry) tellLeavingTarget(incarnation uint64, otherRegion bool) {
	if e.leavingTargets.Add(time.Now(), incarnation, otherRegion) {
		e.reportUrgent()
	}
}

// applyLeavingTargets takes targets that leave, as another VM was told, out of use. A listener of a
// large region relays what is new to it as it does crashes.
func (e *Entry) applyLeavingTargets(now time.Time, s *exchange.State) {
	for _, incarnation := range s.LeavingTargets {
		if !e.balancer.TargetLeaves(now, incarnation) {
			continue
		}
		e.component("entry").WithFields(logrus.Fields{"incarnation": incarnation, "from": s.VM.Name}).
			Info("entry: target leaves by the answer that another VM got")
		if e.regionState.listens() {
			e.tellLeavingTarget(incarnation, s.VM.Region != e.options.VM.Region)
		}
	}
}

// applyCounts updates in-flight requests and demand of a VM, of its region, or of
// all VMs.
func (e *Entry) applyCounts(now time.Time, s exchange.State) {
	if s.Digest != nil {
		e.applyDigest(now, s.VM.Name, s.Digest)
		return
	}
	name := s.VM.Name
	if s.Sum {
		name = regionPeerName(s.VM.Region)
	}
	e.balancer.SetPeerReport(now, name, &placing.PeerReport{
		InFlight: s.InFlight, Demand: map[string]map[string]float64{s.VM.Region: s.Demand}, Aggregated: s.Sum, At: now,
		Restricted: map[string]placing.RestrictedDemand{s.VM.Region: s.Restricted},
	})
}

// applySlowTargets passes on which targets other VMs of the region have found to be slow.
func (e *Entry) applySlowTargets(now time.Time, s *exchange.State) {
	if s.VM.Region != e.options.VM.Region {
		return
	}
	e.balancer.SetSlowTargets(now, s.SlowTargets)
	if s.Digest != nil {
		e.balancer.SetSlowTargets(now, s.Digest.SlowTargets)
	}
}

func (e *Entry) applyDigest(now time.Time, from string, d *exchange.Digest) {
	e.digests.Received(e.now())
	e.balancer.SetRegionSums(now, regionSums, d.InFlight, d.Demand, d.Restricted)
	if d.Details == nil {
		return
	}
	restricted := make(map[string]placing.RestrictedDemand, len(d.Details.Restricted))
	for region, sets := range d.Details.Restricted {
		restricted[region] = sets
	}
	e.balancer.SetPeerReport(now, otherRegionSums, &placing.PeerReport{
		InFlight: d.Details.InFlight, Demand: d.Details.Demand, Restricted: restricted, Aggregated: true, At: now,
	})
	e.targetLimits.merge(e.now(), from, d.Details.Limits)
	cut := make(map[string]exchange.VMReach, len(d.Details.Cut))
	for _, vm := range d.Details.Cut {
		cut[vm.Name] = vm
	}
	for _, seen := range d.Details.VMs {
		if seen.StoreConnected {
			e.outages.StoreReached(now.Add(-seen.Age))
		}
		e.members.ObserveIndirect(seen.Name, peers.State{
			At: e.now().Add(-seen.Age), Serving: seen.Serving, Leaving: seen.Leaving, StoreConnected: seen.StoreConnected,
			Unreached: cut[seen.Name].Unreached, CutOff: cut[seen.Name].CutOff,
		})
	}
}
