package spread

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// settle is how long a fleet is given to form its tree.
const settle = 20 * time.Second

// inFleet runs a test on a fleet of 3 regions with 2 places of 8 VMs.
func inFleet(t *testing.T, test func(f *testFleet)) {
	t.Helper()
	inFleetOf(t, 3, 2, 8, test)
}

// inFleetOf runs a test on a fleet of any shape that has formed its tree.
func inFleetOf(t *testing.T, regions, places, perPlace int, test func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, regions, places, perPlace)
		defer f.stop()
		f.store.put(account(1))
		f.after(settle)
		f.mustHave(account(1))
		test(f)
	})
}

// An operator's change is accepted by the store. Nothing fails. Few nodes
// watch the store, all have the change.
func TestChangeReachesAll(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.put(account(2))
		f.after(time.Second)
		f.mustHave(account(2))
		if n := f.store.watchers(); n != 3*topology.WatchersPerRegion {
			f.t.Errorf("%d nodes watch the store", n)
		}
		for vm, n := range f.nodes {
			if !n.Ready() || !n.Status().HasStorePath {
				f.t.Errorf("%s: %+v", vm, n.Status())
			}
		}
	})
}

// A decider anywhere publishes a plan; a node of another region must get it
// although the store never sees it.
func TestPublishedItemReachesAll(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		leaf := f.byRole(topology.Leaf)
		want := item.New("plan/daehan", 7, 1, []byte("plan"))
		if err := leaf.Publish(want.Key, want.Epoch, want.Sequence, want.Body); err != nil {
			f.t.Fatal(err)
		}
		f.after(time.Second)
		f.mustHave(want)
	})
}

// The watcher that a decider pushes to first hangs. The first plan waits for
// the timeout; those after it must not.
func TestPublishPastAHungWatcher(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		leaf := f.byRole(topology.Leaf)
		hung := leaf.plan.Load().Watchers[0].Address
		f.net.setBlocked(func(from, to string) bool { return from == leaf.member.Address && to == hung })
		for sequence := uint64(1); sequence < 10; sequence++ {
			want := item.New("plan/daehan", 7, sequence, []byte("plan"))
			if err := leaf.Publish(want.Key, want.Epoch, want.Sequence, want.Body); err != nil {
				f.t.Fatal(err)
			}
			if sequence == 1 {
				f.after(inForce)
			}
			f.after(time.Second)
			f.mustHave(want)
		}
	})
}

// A relay's process is killed while changes arrive. Its subscribers see the
// stream break and take the next in their order.
func TestRelayDies(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.kill(f.byRole(topology.Relay))
		f.store.put(account(2))
		f.after(inForce)
		f.mustHave(account(2))
	})
}

// A relay hangs: its connections stay open, nothing arrives and nothing fails.
// Only the missing heartbeats show it.
func TestRelayHangs(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		hung := f.byRole(topology.Relay)
		f.net.setBlocked(func(from, to string) bool {
			return from == hung.member.Address || to == hung.member.Address
		})
		f.store.put(account(2))
		f.after(inForce)
		f.mustFollowOthers(hung)
		delete(f.nodes, hung.member.VM)
		f.mustHave(account(2))
		f.nodes[hung.member.VM] = hung
		f.net.setBlocked(func(string, string) bool { return false })
		f.after(inForce)
		f.mustHave(account(2))
	})
}

// All that a relay is sent reaches it a minute late, as its VM is short of
// processor time, but its own heartbeats are on time and their digest is equal
// to that of its subscribers: they are late together. Only a node fed by
// another way shows it, and they must leave.
func TestRelayLags(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		lags := f.byRole(topology.Relay)
		f.becomeLate(lags)
		delete(f.nodes, lags.member.VM)
		late := 0
		for sequence := uint64(2); sequence < 22; sequence++ {
			f.store.put(account(sequence))
			f.after(inForce)
			late += len(f.lacking(account(sequence)))
		}
		f.nodes[lags.member.VM] = lags
		if late > 0 {
			f.t.Errorf("%d times a node had a change later than %s", late, inForce)
		}
		f.mustFollowOthers(lags)
	})
}

// A relay lags, and meanwhile other peers hang that its subscriber compares with
// now and then. Its witness alone can show it that it is out of date: a round
// left out, or held up by a call to a peer that hangs, makes a change late.
func TestHungPeersDoNotDelayTheWitness(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		// By then all that started with a later choice are back at their first.
		f.after(2 * time.Minute)
		leaf := f.byRole(topology.Leaf)
		plan := leaf.plan.Load()
		witness, _ := leaf.alternate(plan)
		first := plan.Upstreams[0][0]
		f.net.setBlocked(func(from, to string) bool {
			other := func(address string) bool { return address != witness.Address && address != first.Address }
			return from == leaf.member.Address && other(to) || to == leaf.member.Address && other(from)
		})
		longest := time.Duration(float64(DefaultCompareInterval)*(1+jitterShare)) + 2*linkDelay
		for range 300 {
			f.after(time.Second)
			for _, peer := range leaf.Status().Peers {
				if peer.VM == witness.VM && peer.LastContactAge > longest {
					f.t.Fatalf("witness %s heard %s ago, want at most %s", peer.VM, peer.LastContactAge, longest)
				}
			}
		}
	})
}

// becomeLate makes messages to a node later and later, up to a minute, so that
// no gap between two of them shows it.
func (f *testFleet) becomeLate(n *testNode) {
	var late time.Duration
	f.net.setDelay(func(from, to string) time.Duration {
		if to == n.member.Address {
			return late
		}
		return 0
	})
	for range 120 {
		f.after(time.Second)
		f.net.mu.Lock()
		late += time.Second / 2
		f.net.mu.Unlock()
	}
}

// mustFollowOthers fails if a node receives from the one given.
func (f *testFleet) mustFollowOthers(bad *testNode) {
	f.t.Helper()
	for vm, n := range f.nodes {
		if slices.Contains(n.Status().Upstreams, bad.member.VM) {
			f.t.Errorf("%s still follows %s", vm, bad.member.VM)
		}
	}
}

// Both watchers of a region go with their racks, and the list still names
// them. The relays of the region must find others, or watch themselves.
func TestBothWatchersOfARegionDie(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		for range topology.WatchersPerRegion {
			f.kill(f.inRegion("r0", topology.Watcher))
		}
		f.store.put(account(2))
		f.after(inForce)
		f.mustHave(account(2))
	})
}

// As above, with no other region to turn to: a relay must watch the store in
// their place, and stop when a watcher is back.
func TestAllWatchersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 2, 5)
		defer f.stop()
		f.after(settle)
		first := f.inRegion("r0", topology.Watcher)
		f.kill(first)
		f.kill(f.inRegion("r0", topology.Watcher))
		f.store.put(account(2))
		f.after(inForce)
		f.mustHave(account(2))
		f.start(first.member)
		f.after(2 * time.Minute)
		if n := f.store.watchers(); n != 1 {
			f.t.Errorf("%d nodes watch the store", n)
		}
	})
}

// A relay can reach neither watchers nor other relays, but its subscribers.
// Its digest is equal to theirs for ever; they must leave it.
func TestRelayCutOff(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		// The store can't be its way out.
		f.store.setOut(true)
		relay := f.byRole(topology.Relay)
		below := map[string]bool{}
		for _, ref := range relay.server.list() {
			below[ref.PeerAddress] = true
		}
		f.net.setBlocked(func(from, to string) bool {
			cut := relay.member.Address
			return from == cut && !below[to] || to == cut && !below[from]
		})
		f.after(4 * inForce)
		f.mustFollowOthers(relay)
	})
}

// returnsAnHour bounds how often a node tries an upstream that fails each time:
// the penalties add up to 2, 10, 42, 170 and 470 s, then 300 s each, all less
// jitter, and a return waits for the next look, a minute apart.
const returnsAnHour = 16

// A relay hangs and recovers every ten seconds for an hour. Its
// subscribers must not move to and fro with it.
func TestRelayFlaps(t *testing.T) {
	inFleetOf(t, 1, 2, 8, func(f *testFleet) {
		relay := f.byRole(topology.Relay)
		below := len(relay.server.list())
		f.net.counted()
		for range 180 {
			f.net.setBlocked(func(from, to string) bool {
				return from == relay.member.Address || to == relay.member.Address
			})
			f.after(10 * time.Second)
			f.net.setBlocked(func(string, string) bool { return false })
			f.after(10 * time.Second)
		}
		moves := f.net.counted()["subscribe "+relay.member.Address]
		if limit := returnsAnHour * below; moves > limit {
			f.t.Errorf("%d subscriptions for %d subscribers, at most %d expected", moves, below, limit)
		}
	})
}

// A relay is gone without a trace and the list names it for ten more minutes.
// Its former subscribers must not give up a stream that works to try it.
func TestDeadRelayStaysListed(t *testing.T) {
	inFleetOf(t, 2, 2, 6, func(f *testFleet) {
		relay := f.byRole(topology.Relay)
		f.net.setBlocked(func(from, to string) bool {
			return from == relay.member.Address || to == relay.member.Address
		})
		// By then all that started with a later choice are back at their first.
		f.after(2 * time.Minute)
		f.net.counted()
		f.after(10 * time.Minute)
		f.mustFollowOthers(relay)
		for kind, n := range f.net.counted() {
			if strings.HasPrefix(kind, "subscribe") {
				f.t.Errorf("%d times %s while nothing changed", n, kind)
			}
		}
	})
}

func (f *testFleet) inRegion(region string, role topology.Role) *testNode {
	for _, n := range f.nodes {
		if n.member.Region == region && n.plan.Load().Role == role {
			return n
		}
	}
	return nil
}

// The watchers of all regions lose each other and the store, as their racks
// have lost the links out of the region, while other VMs have theirs. Items
// must still cross, by comparison with random peers.
func TestRandomPeersBridgeRegions(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setOut(true)
		region, watches := map[string]string{}, map[string]bool{}
		for _, n := range f.nodes {
			region[n.member.Address] = n.member.Region
			watches[n.member.Address] = n.plan.Load().Role == topology.Watcher
		}
		f.net.setBlocked(func(from, to string) bool {
			return region[from] != region[to] && (watches[from] || watches[to])
		})
		want := item.New("plan/daehan", 7, 1, []byte("plan"))
		if err := f.inRegion("r1", topology.Leaf).Publish(want.Key, want.Epoch, want.Sequence, want.Body); err != nil {
			f.t.Fatal(err)
		}
		f.after(2 * time.Minute)
		f.mustHave(want)
	})
}

// A region loses the others for an hour, in which 120 changes are accepted.
// When it returns it must have the last one within seconds, and not get each
// change in between: that burst would fill the link.
func TestRegionCutOffForAnHour(t *testing.T) {
	inFleetOf(t, 3, 2, 4, func(f *testFleet) {
		cut := map[string]bool{}
		for _, n := range f.nodes {
			cut[n.member.Address] = n.member.Region == "r0"
		}
		// The region's watchers can't reach the store either.
		f.store.setOut(true)
		f.after(time.Second)
		f.net.setBlocked(func(from, to string) bool { return cut[from] != cut[to] })
		f.net.counted()
		writer := f.inRegion("r1", topology.Leaf)
		for sequence := uint64(2); sequence <= 121; sequence++ {
			want := account(sequence)
			if err := writer.Publish(want.Key, want.Epoch, want.Sequence, want.Body); err != nil {
				f.t.Fatal(err)
			}
			f.after(30 * time.Second)
		}
		for _, n := range f.nodes {
			got, _ := n.Get("account/daehan")
			if cut[n.member.Address] != (got.Sequence == 1) {
				f.t.Fatalf("%s has %d", n.member.VM, got.Sequence)
			}
		}
		// Each watcher of the region tries one other after a pause, and each
		// attempt takes as long as silence is put up with.
		attempts := f.net.counted()["attempt"]
		if limit := 60 * 60 / 6 * topology.WatchersPerRegion; attempts > limit {
			f.t.Errorf("%d attempts to subscribe within the hour, at most %d expected", attempts, limit)
		}
		f.after(inForce)
		idle := f.net.counted()
		f.net.setBlocked(func(string, string) bool { return false })
		f.after(inForce)
		back := f.net.counted()
		f.mustHave(account(121))
		nodes := len(f.nodes) / 3
		// Each node of the region gets the item once, and at most once more
		// from its neighbour in a circle of watchers.
		if back["update"] > 2*nodes {
			f.t.Errorf("%d updates for %d nodes that returned", back["update"], nodes)
		}
		if back["request"] > idle["request"]+4*nodes {
			f.t.Errorf("%d requests on return, %d when cut off", back["request"], idle["request"])
		}
	})
}
