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

// digestName stands for all VMs that a listener sums up.
const digestName = "digest"

// regionName stands for the VMs of another region that are told in sum.
func regionName(region string) string { return "region " + region }

// audience returns who is told what.
func (e *Entry) audience() exchange.Audience {
	g := e.book.Group(time.Now())
	own := e.options.VM.Name
	a := exchange.Audience{Large: g.Large, Near: peersOf(g.Listeners, own)}
	listens := len(a.Near) < len(g.Listeners)
	if listens {
		a.Far = peersOf(g.Far, own)
	}
	if g.Large && listens && g.Listeners[0].Name == own {
		a.Digests = peersOf(g.Others, own)
	}
	return a
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
		Revision: uint64(at),
	}
	if !sum {
		s.InHand, s.Demand = e.board.Report(now)
		return s
	}
	inHand, demand := e.board.RegionSums(now)
	s.InHand, s.Demand = inHand, demand
	return s
}

// digest is what one VM is told of all others.
func (e *Entry) digest(to string, seen bool) *exchange.Digest {
	now := time.Now()
	d := &exchange.Digest{}
	d.InHand, d.Demand = e.board.Sums(now, to)
	if !seen {
		return d
	}
	for name, said := range e.book.Seen() {
		d.Seen = append(d.Seen, exchange.Seen{
			Name: name, Age: now.Sub(said.At), Leaving: said.Leaving, Serving: said.Serving, Linked: said.Linked,
		})
	}
	return d
}

// heard takes in what another VM says.
func (e *Entry) heard(ctx context.Context) func(exchange.State) {
	return func(s exchange.State) {
		now := time.Now()
		if e.book.Hear(s.VM, peers.Said{At: now, Serving: s.Serving, Leaving: s.Leaving, Linked: s.Linked}) {
			e.delays.measure(s.VM.Region, s.VM.Peer)
		}
		e.hearCounts(now, s)
		near := s.VM.Region == e.options.VM.Region
		e.mirror.SawPeer(ctx, s.VM.Peer, near, store.Revision(s.Revision), now)
	}
}

// hearCounts takes in requests in hand and demand: of the VM, of its region, or of
// all VMs.
func (e *Entry) hearCounts(now time.Time, s exchange.State) {
	p := &placing.Peer{InHand: s.InHand, Demand: map[string]map[string]float64{s.VM.Region: s.Demand}, At: now}
	switch {
	case s.Digest != nil:
		p.Sum, p.InHand, p.Demand = true, s.Digest.InHand, s.Digest.Demand
		e.board.SetPeer(now, digestName, p)
		for _, seen := range s.Digest.Seen {
			e.book.HearOf(seen.Name, peers.Said{
				At: now.Add(-seen.Age), Serving: seen.Serving, Leaving: seen.Leaving, Linked: seen.Linked,
			})
		}
	case s.Sum:
		p.Sum = true
		e.board.SetPeer(now, regionName(s.VM.Region), p)
	default:
		e.board.SetPeer(now, s.VM.Name, p)
	}
}
