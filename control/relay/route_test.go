package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// fromNodes is the setting of the tests.
const fromNodes = 64

func domain(n int) []*peerpb.NodeRef {
	var refs []*peerpb.NodeRef
	for i := range n {
		refs = append(refs, &peerpb.NodeRef{Vm: fmt.Sprint("vm", i)})
	}
	return refs
}

func newRoute(fleet, inDomain int, seed uint64) *Selector {
	members := Members{FleetSize: fleet, Domain: domain(inDomain)}
	return NewSelector(SelectorOptions{
		Account: "daehan", MinFleet: fromNodes, Random: rand.New(rand.NewPCG(seed, 0)),
		Members: func() Members { return members },
	})
}

// Fleets of today's size, and domains in which a relay saves nothing, must see no
// difference.
func TestSmallFleetsUseNoRelay(t *testing.T) {
	for _, c := range []struct {
		fleet, inDomain int
		relay           bool
	}{
		{10, 5, false}, {fromNodes - 1, 8, false}, {550, MinDomainNodes - 1, false},
		{fromNodes, MinDomainNodes, true}, {550, 32, true},
	} {
		if via, _ := newRoute(c.fleet, c.inDomain, 1).Next(time.Now()); (via != nil) != c.relay {
			t.Errorf("%+v: relay %v", c, via)
		}
	}
}

// Every relay of a fleet fails at the same moment, for example by a fault in the
// relay itself, and goes on failing. All nodes turn to their deciders. A decider
// takes 200 reports a second; more would make it fail too. No node may be without
// an answer until its surplus ends, nor those that report every 10 s.
func TestNoBurstWhenAllRelaysFail(t *testing.T) {
	for _, interval := range []time.Duration{2750 * time.Millisecond, 10 * time.Second} {
		testAllRelaysFail(t, interval)
	}
}

func testAllRelaysFail(t *testing.T, interval time.Duration) {
	const nodes, seconds = 550, 60
	// lasts is the time to live of a surplus less that of a round.
	const lasts = 14 * time.Second
	began := time.Unix(1000, 0)
	direct := make([]int, 2*seconds)
	for n := range nodes {
		r := newRoute(nodes, 32, uint64(n))
		random := rand.New(rand.NewPCG(uint64(n), 1))
		now := began.Add(time.Duration(random.Int64N(int64(interval))))
		answered := now
		for now.Sub(began) < seconds*time.Second {
			now = answered.Add(interval)
			via, timeout := r.Next(now)
			for via != nil {
				now = now.Add(timeout)
				now = now.Add(r.RecordFailure(via, answered, now))
				via, timeout = r.Next(now)
			}
			if wait := now.Sub(answered); wait > lasts {
				t.Fatalf("no answer for %v", wait)
			}
			answered = now
			direct[int(now.Sub(began).Seconds())]++
		}
	}
	for s, count := range direct {
		if count > 1.3*directPerSecond {
			t.Errorf("second %d: %d direct reports", s, count)
		}
	}
}

// One relay of a domain fails for good while the VM list still shows it. Its nodes
// must agree on the next one, or each would send batches of its own.
func TestNextRelayIsTheSameForAll(t *testing.T) {
	now := time.Unix(1000, 0)
	chosen := make(map[string]int)
	for n := range 32 {
		r := newRoute(550, 32, uint64(n))
		first, _ := r.Next(now)
		delay := r.RecordFailure(first, now, now)
		if via, _ := r.Next(now.Add(delay)); via != nil {
			t.Fatal("the report after the failure does not go directly")
		}
		second, _ := r.Next(now.Add(delay))
		if second.Vm == first.Vm {
			t.Fatal("the relay that failed is asked again")
		}
		chosen[second.Vm]++
		if third, _ := r.Next(now.Add(avoidFor + time.Second)); third.Vm != first.Vm {
			t.Fatal("the first relay is never asked again")
		}
	}
	if len(chosen) != 1 {
		t.Errorf("next relays: %v", chosen)
	}
}
