package entry

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/peers"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// Names under which the sums of several VMs are kept: those of the own region and of
// all others, as a listener tells them.
const (
	nearName = "near"
	farName  = "far"
)

// regionName stands for the VMs of another region that are told in sum.
func regionName(region string) string { return "region " + region }

// audience returns who is told what.
func (e *Entry) audience() exchange.Audience {
	now := time.Now()
	g := e.book.Group(now)
	own := e.options.VM.Name
	a := exchange.Audience{Large: g.Large, Near: peersOf(g.Listeners, own)}
	listens := len(a.Near) < len(g.Listeners)
	e.digests.Expect(now, g.Large && !listens)
	e.beliefs.setRole(role{
		listens: g.Large && listens, sends: g.Large && g.Listeners[0].Name == own, missing: e.digests.Missing(now),
	})
	if listens {
		a.Far = peersOf(g.Far, own)
	}
	if g.Large && listens && g.Listeners[0].Name == own {
		a.Digests = peersOf(append(g.SameDomain, g.Unreached...), own)
		a.Relays = peersOf(g.Relays, own)
	}
	return a
}

// passTo returns the VMs to which this one passes a digest on.
func (e *Entry) passTo() ([]exchange.Peer, exchange.Via) {
	at, _ := e.mirror.At()
	via := exchange.Via{Peer: e.options.VM.Peer, Revision: uint64(at)}
	return peersOf(e.book.Group(time.Now()).SameDomain, e.options.VM.Name), via
}

func peersOf(vms []site.VM, but string) []exchange.Peer {
	list := make([]exchange.Peer, 0, len(vms))
	for _, vm := range vms {
		if vm.Name != but {
			list = append(list, exchange.Peer{Name: vm.Name, Address: vm.Peer})
		}
	}
	return list
}

// state is what other VMs are told of this one, or of its region in sum.
func (e *Entry) state(sum bool) exchange.State {
	now := time.Now()
	at, _ := e.mirror.At()
	s := exchange.State{
		VM: e.options.VM, Leaving: e.leaving.Load(), Serving: e.gateway.Ready(), Linked: e.mirror.Linked(),
		Revision: uint64(at), NoDigest: e.digests.Missing(now),
	}
	if !sum {
		s.InHand, s.Demand = e.board.Report(now)
		return s
	}
	inHand, demand := e.board.NearSums(now)
	s.InHand, s.Demand = inHand, demand
	return s
}

// digest is what all VMs of the region are told.
func (e *Entry) digest(rest bool) *exchange.Digest {
	now := time.Now()
	inHand, demand := e.board.NearSums(now)
	d := &exchange.Digest{InHand: inHand, Demand: demand}
	if !rest {
		return d
	}
	inHand, far := e.board.FarSums(now)
	d.Rest = &exchange.Rest{InHand: inHand, Demand: far}
	for name, said := range e.book.Seen() {
		d.Rest.Seen = append(d.Rest.Seen, exchange.Seen{
			Name: name, Age: now.Sub(said.At), Leaving: said.Leaving, Serving: said.Serving, Linked: said.Linked,
		})
	}
	return d
}

// heard takes in what another VM says.
func (e *Entry) heard(ctx context.Context) func(exchange.State) {
	return func(s exchange.State) {
		now := time.Now()
		if e.book.Hear(s.VM, peers.Said{At: now, Serving: s.Serving, Leaving: s.Leaving, Linked: s.Linked, NoDigest: s.NoDigest}) {
			e.delays.measure(s.VM.Region, s.VM.Peer)
		}
		e.hearCounts(now, s)
		if s.Via != nil {
			e.mirror.SawPeer(ctx, s.Via.Peer, true, store.Revision(s.Via.Revision), now)
		}
		// A copy from a VM of the own failure domain costs no bytes between domains;
		// the listener's is for when the relay does not have the change soon.
		near := s.VM.Region == e.options.VM.Region && s.Via == nil
		e.mirror.SawPeer(ctx, s.VM.Peer, near, store.Revision(s.Revision), now)
	}
}

// hearCounts takes in requests in hand and demand: of the VM, of its region, or of
// all VMs.
func (e *Entry) hearCounts(now time.Time, s exchange.State) {
	if s.Digest != nil {
		e.hearDigest(now, s.Digest)
		return
	}
	name := s.VM.Name
	if s.Sum {
		name = regionName(s.VM.Region)
	}
	e.board.SetPeer(now, name, &placing.Peer{
		InHand: s.InHand, Demand: map[string]map[string]float64{s.VM.Region: s.Demand}, Sum: s.Sum, At: now,
	})
}

func (e *Entry) hearDigest(now time.Time, d *exchange.Digest) {
	e.digests.Came(now)
	e.board.SetNear(now, nearName, d.InHand, d.Demand)
	if d.Rest == nil {
		return
	}
	e.board.SetPeer(now, farName, &placing.Peer{InHand: d.Rest.InHand, Demand: d.Rest.Demand, Sum: true, At: now})
	for _, seen := range d.Rest.Seen {
		e.book.HearOf(seen.Name, peers.Said{
			At: now.Add(-seen.Age), Serving: seen.Serving, Leaving: seen.Leaving, Linked: seen.Linked,
		})
	}
}
