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

// settleTime is the time a fleet gets to form its tree.
const settleTime = 20 * time.Second

// inFleet runs a test on a fleet of 3 regions with 2 failure domains of 8 VMs
// each.
func inFleet(t *testing.T, test func(f *testFleet)) {
	t.Helper()
	inFleetOf(t, 3, 2, 8, test)
}

// inFleetOf runs a test on a fleet of the given shape after it has formed its
// tree.
func inFleetOf(t *testing.T, regions, domains, perDomain int, test func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, regions, domains, perDomain)
		defer f.stop()
		f.store.put(account(1))
		f.advance(settleTime)
		f.mustHave(account(1))
		test(f)
	})
}

// A change in the store reaches all nodes while only the watchers read the
// store.
func TestChangeReachesAll(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.put(account(2))
		f.advance(time.Second)
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

// A published item must reach nodes in other regions without going through the
// store.
func TestPublishedItemReachesAll(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		leaf := f.byRole(topology.Leaf)
		want := item.New("plan/daehan", 7, 1, []byte("plan"))
		if err := leaf.Publish(want.Key, want.Epoch, want.Sequence, want.Body); err != nil {
			f.t.Fatal(err)
		}
		f.advance(time.Second)
		f.mustHave(want)
	})
}

// A hung watcher may delay the first published item by a timeout, but not later
// ones.
func TestPublishWithHungWatcher(t *testing.T) {
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
				f.advance(convergeTimeout)
			}
			f.advance(time.Second)
			f.mustHave(want)
		}
	})
}

// Subscribers of a killed relay must switch to their next upstream.
func TestRelayDies(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.kill(f.byRole(topology.Relay))
		f.store.put(account(2))
		f.advance(convergeTimeout)
		f.mustHave(account(2))
	})
}

// A hung relay, whose connections stay open, must be detected by missing
// heartbeats.
func TestRelayHangs(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		hung := f.byRole(topology.Relay)
		f.net.setBlocked(func(from, to string) bool {
			return from == hung.member.Address || to == hung.member.Address
		})
		f.store.put(account(2))
		f.advance(convergeTimeout)
		f.mustNotFollow(hung)
		delete(f.nodes, hung.member.VM)
		f.mustHave(account(2))
		f.nodes[hung.member.VM] = hung
		f.net.setBlocked(func(string, string) bool { return false })
		f.advance(convergeTimeout)
		f.mustHave(account(2))
	})
}

// An outdated relay whose heartbeats are on time has the same digest as its
// subscribers. They must detect it by comparing with another upstream and leave
// it.
func TestRelayLags(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		lags := f.byRole(topology.Relay)
		f.addGrowingDelay(lags)
		delete(f.nodes, lags.member.VM)
		late := 0
		for sequence := uint64(2); sequence < 22; sequence++ {
			f.store.put(account(sequence))
			f.advance(convergeTimeout)
			late += len(f.nodesLacking(account(sequence)))
		}
		f.nodes[lags.member.VM] = lags
		if late > 0 {
			f.t.Errorf("%d changes arrived later than %s", late, convergeTimeout)
		}
		f.mustNotFollow(lags)
	})
}

// Hung peers must neither skip nor delay comparisons with the alternate
// upstream, since only those reveal an outdated relay.
func TestHungPeersDoNotDelayAlternateComparison(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		// Wait until all nodes have returned to their preferred upstream.
		f.advance(2 * time.Minute)
		leaf := f.byRole(topology.Leaf)
		plan := leaf.plan.Load()
		alternate, _ := leaf.alternateUpstream(plan)
		first := plan.Upstreams[0][0]
		f.net.setBlocked(func(from, to string) bool {
			other := func(address string) bool { return address != alternate.Address && address != first.Address }
			return from == leaf.member.Address && other(to) || to == leaf.member.Address && other(from)
		})
		longest := time.Duration(float64(DefaultCompareInterval)*(1+jitterFraction)) + 2*linkDelay
		for range 300 {
			f.advance(time.Second)
			for _, peer := range leaf.Status().Peers {
				if peer.VM == alternate.VM && peer.LastContactAge > longest {
					f.t.Fatalf("last contact with alternate upstream %s was %s ago, want at most %s", peer.VM, peer.LastContactAge, longest)
				}
			}
		}
	})
}

// addGrowingDelay delays messages to a node increasingly, up to a minute, so
// that no gap between two messages reveals the delay.
func (f *testFleet) addGrowingDelay(n *testNode) {
	var late time.Duration
	f.net.setDelay(func(from, to string) time.Duration {
		if to == n.member.Address {
			return late
		}
		return 0
	})
	for range 120 {
		f.advance(time.Second)
		f.net.mu.Lock()
		late += time.Second / 2
		f.net.mu.Unlock()
	}
}

// mustNotFollow fails if any node still receives from bad.
func (f *testFleet) mustNotFollow(bad *testNode) {
	f.t.Helper()
	for vm, n := range f.nodes {
		if slices.Contains(n.Status().Upstreams, bad.member.VM) {
			f.t.Errorf("%s still follows %s", vm, bad.member.VM)
		}
	}
}

// When both watchers of a region are down but still listed, the region's relays
// must use other watchers or watch the store themselves.
func TestBothWatchersOfARegionDie(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		for range topology.WatchersPerRegion {
			f.kill(f.inRegion("r0", topology.Watcher))
		}
		f.store.put(account(2))
		f.advance(convergeTimeout)
		f.mustHave(account(2))
	})
}

// With no watcher left at all, a relay must watch the store, and stop once a
// watcher is back.
func TestAllWatchersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 2, 5)
		defer f.stop()
		f.advance(settleTime)
		first := f.inRegion("r0", topology.Watcher)
		f.kill(first)
		f.kill(f.inRegion("r0", topology.Watcher))
		f.store.put(account(2))
		f.advance(convergeTimeout)
		f.mustHave(account(2))
		f.start(first.member)
		f.advance(2 * time.Minute)
		if n := f.store.watchers(); n != 1 {
			f.t.Errorf("%d nodes watch the store", n)
		}
	})
}

// A relay that reaches only its subscribers has the same digest as they do;
// they must still leave it.
func TestIsolatedRelayIsAbandoned(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		// Without the store the relay has no other source.
		f.store.setUnavailable(true)
		relay := f.byRole(topology.Relay)
		below := map[string]bool{}
		for _, ref := range relay.server.list() {
			below[ref.PeerAddress] = true
		}
		f.net.setBlocked(func(from, to string) bool {
			cut := relay.member.Address
			return from == cut && !below[to] || to == cut && !below[from]
		})
		f.advance(4 * convergeTimeout)
		f.mustNotFollow(relay)
	})
}

// maxReturnsPerHour bounds how often a node retries an upstream that keeps
// failing. Penalties add up to 2, 10, 42, 170 and 470 s, then grow by 300 s
// each, less jitter.
const maxReturnsPerHour = 16

// Subscribers must not flap with a relay that hangs and recovers repeatedly.
func TestRelayFlaps(t *testing.T) {
	inFleetOf(t, 1, 2, 8, func(f *testFleet) {
		relay := f.byRole(topology.Relay)
		below := len(relay.server.list())
		f.net.takeCounts()
		for range 180 {
			f.net.setBlocked(func(from, to string) bool {
				return from == relay.member.Address || to == relay.member.Address
			})
			f.advance(10 * time.Second)
			f.net.setBlocked(func(string, string) bool { return false })
			f.advance(10 * time.Second)
		}
		moves := f.net.takeCounts()["subscribe "+relay.member.Address]
		if limit := maxReturnsPerHour * below; moves > limit {
			f.t.Errorf("%d subscriptions for %d subscribers, at most %d expected", moves, below, limit)
		}
	})
}

// Subscribers must not leave a working stream to try a dead relay that is still
// listed.
func TestDeadRelayStaysListed(t *testing.T) {
	inFleetOf(t, 2, 2, 6, func(f *testFleet) {
		relay := f.byRole(topology.Relay)
		f.net.setBlocked(func(from, to string) bool {
			return from == relay.member.Address || to == relay.member.Address
		})
		// Wait until all nodes have returned to their preferred upstream.
		f.advance(2 * time.Minute)
		f.net.takeCounts()
		f.advance(10 * time.Minute)
		f.mustNotFollow(relay)
		for kind, n := range f.net.takeCounts() {
			if strings.HasPrefix(kind, "subscribe") {
				f.t.Errorf("%d x %s in an unchanged fleet", n, kind)
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

// When the watchers of all regions lose each other and the store, items must
// cross regions by comparisons with random peers.
func TestRandomPeersBridgeRegions(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setUnavailable(true)
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
		f.advance(2 * time.Minute)
		f.mustHave(want)
	})
}

// A region that reconnects after missing many changes must receive only the
// latest state, not every change.
func TestRegionIsolatedForAnHour(t *testing.T) {
	inFleetOf(t, 3, 2, 4, func(f *testFleet) {
		cut := map[string]bool{}
		for _, n := range f.nodes {
			cut[n.member.Address] = n.member.Region == "r0"
		}
		// The isolated watchers have no access to the store either.
		f.store.setUnavailable(true)
		f.advance(time.Second)
		f.net.setBlocked(func(from, to string) bool { return cut[from] != cut[to] })
		f.net.takeCounts()
		writer := f.inRegion("r1", topology.Leaf)
		for sequence := uint64(2); sequence <= 121; sequence++ {
			want := account(sequence)
			if err := writer.Publish(want.Key, want.Epoch, want.Sequence, want.Body); err != nil {
				f.t.Fatal(err)
			}
			f.advance(30 * time.Second)
		}
		for _, n := range f.nodes {
			got, _ := n.Get("account/daehan")
			if cut[n.member.Address] != (got.Sequence == 1) {
				f.t.Fatalf("%s has %d", n.member.VM, got.Sequence)
			}
		}
		// Each watcher of the region tries one other at a time, and each
		// attempt lasts until the silence timeout.
		attempts := f.net.takeCounts()["attempt"]
		if limit := 60 * 60 / 6 * topology.WatchersPerRegion; attempts > limit {
			f.t.Errorf("%d attempts to subscribe within the hour, at most %d expected", attempts, limit)
		}
		f.advance(convergeTimeout)
		idle := f.net.takeCounts()
		f.net.setBlocked(func(string, string) bool { return false })
		f.advance(convergeTimeout)
		back := f.net.takeCounts()
		f.mustHave(account(121))
		nodes := len(f.nodes) / 3
		// Each node of the region receives the item once, and at most once more
		// from another watcher.
		if back["update"] > 2*nodes {
			f.t.Errorf("%d updates for %d reconnected nodes", back["update"], nodes)
		}
		if back["request"] > idle["request"]+4*nodes {
			f.t.Errorf("%d requests after reconnecting, %d while isolated", back["request"], idle["request"])
		}
	})
}
