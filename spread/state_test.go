package spread

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// During a store outage only the watchers may retry, with pauses, and changes
// must become active soon after it ends.
func TestStoreOutage(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setUnavailable(true)
		f.advance(time.Minute)
		f.store.takeRuns()
		const outage = 10 * time.Minute
		f.advance(outage)
		watchers := 3 * topology.WatchersPerRegion
		// The longest pause less its jitter.
		limit := watchers * int(outage/(sourcePauseMax*8/10))
		if n := f.store.takeRuns(); n > limit {
			f.t.Errorf("%d attempts, at most %d expected", n, limit)
		}
		f.mustHave(account(1))
		f.store.put(account(2))
		f.store.setUnavailable(false)
		f.advance(convergeTimeout)
		f.mustHave(account(2))
		if n := f.store.takeRuns(); n > 2*watchers {
			f.t.Errorf("%d attempts after the outage", n)
		}
	})
}

// A VM that starts during a store outage must learn the active items from
// synchronized peers before it is ready.
func TestNewNodesDuringStoreOutage(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setUnavailable(true)
		f.advance(time.Second)
		want := account(2)
		if err := f.byRole(topology.Leaf).Publish(want.Key, want.Epoch, want.Sequence, want.Body); err != nil {
			f.t.Fatal(err)
		}
		f.advance(time.Second)
		var fresh []*testNode
		for range 4 {
			fresh = append(fresh, f.start(f.addVM("r1", "r1-p0")))
		}
		f.mustLearn(fresh, want)
	})
}

// mustLearn waits until all nodes are ready; none may be ready without the
// item.
func (f *testFleet) mustLearn(nodes []*testNode, want item.Item) {
	f.t.Helper()
	const step = 5 * time.Millisecond
	for range int(convergeTimeout / step) {
		ready := 0
		for _, n := range nodes {
			if !n.Ready() {
				continue
			}
			ready++
			if got, _ := n.Get(want.Key); got.Sum != want.Sum {
				f.t.Fatalf("%s is ready with %d.%d", n.member.VM, got.Epoch, got.Sequence)
			}
		}
		if ready == len(nodes) {
			return
		}
		f.advance(step)
	}
	f.t.Fatalf("nodes are not ready after %s", convergeTimeout)
}

// A fleet that starts without the store must not become ready because all nodes
// agree on an empty table.
func TestFleetStartsWithoutStore(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setUnavailable(true)
		for _, n := range f.nodes {
			f.kill(n)
		}
		for _, m := range topology.FromList(f.list) {
			f.start(m)
		}
		f.advance(time.Minute)
		for vm, n := range f.nodes {
			if n.Ready() {
				f.t.Fatalf("%s is ready without items", vm)
			}
		}
		f.store.setUnavailable(false)
		f.advance(settleTime)
		f.mustHave(account(1))
	})
}

// No node may take older states from a restored store, and status must report
// the key.
func TestRestoredStoreOffersOlder(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.put(account(9))
		f.advance(time.Second)
		f.requireMonotonic("account/daehan")
		f.store.put(account(3))
		f.advance(time.Minute)
		f.store.put(account(4))
		f.advance(time.Minute)
		f.mustHave(account(9))
		staleOffers := f.byRole(topology.Watcher).Status().StaleOffers
		if len(staleOffers) != 1 || staleOffers[0].OfferedSequence != 4 || staleOffers[0].ActiveSequence != 9 {
			f.t.Errorf("stale offers: %+v", staleOffers)
		}
	})
}

// requireMonotonic fails the test when a listener receives an older state after
// a newer one.
func (f *testFleet) requireMonotonic(prefix string) {
	for _, n := range f.nodes {
		f.requireMonotonicOn(n, prefix)
	}
}

func (f *testFleet) requireMonotonicOn(n *testNode, prefix string) {
	last := map[string]item.Item{}
	n.OnItem(prefix, func(it item.Item) {
		// Content is not versioned: it may be removed and referenced again.
		if content.IsKey(it.Key) {
			return
		}
		if old, ok := last[it.Key]; ok && !it.NewerThan(old) {
			f.t.Errorf("%s received %s %d.%d after %d.%d", n.member.VM, it.Key, it.Epoch, it.Sequence, old.Epoch, old.Sequence)
		}
		last[it.Key] = it
	})
}

// When watchers read different states with the same version, all nodes must
// converge on one of them.
func TestConflictingVersionsConverge(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setUnavailable(true)
		f.advance(time.Second)
		one := item.New("account/daehan", 1, 2, []byte("one"))
		other := item.New("account/daehan", 1, 2, []byte("other"))
		f.inRegion("r0", topology.Watcher).source.emit(one.Key, 1, 2, one.Body)
		f.inRegion("r1", topology.Watcher).source.emit(other.Key, 1, 2, other.Body)
		f.advance(convergeTimeout)
		if other.NewerThan(one) {
			one = other
		}
		f.mustHave(one)
	})
}

// A resumed VM must not be ready with outdated items, and must not replace
// newer items by delayed older ones.
func TestPausedNodeResumes(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		paused := f.byRole(topology.Leaf)
		f.requireMonotonic("account/daehan")
		f.net.setBlocked(func(from, to string) bool {
			return from == paused.member.Address || to == paused.member.Address
		})
		for sequence := uint64(2); sequence < 12; sequence++ {
			f.store.put(account(sequence))
			f.advance(time.Minute)
		}
		paused.readiness.reset()
		f.net.setBlocked(func(string, string) bool { return false })
		f.mustLearn([]*testNode{paused}, account(11))
		f.mustHave(account(11))
	})
}

// A pause must be detected by whichever of the monotonic and wall clocks
// advanced.
func TestPauseDetection(t *testing.T) {
	start := time.Now()
	if got := pausedFor(start, start.Add(time.Minute)); got != time.Minute {
		t.Errorf("monotonic clock moved: %s", got)
	}
	wall := start.Round(0).Add(time.Minute)
	if got := pausedFor(start, wall); got != time.Minute {
		t.Errorf("only the wall clock moved: %s", got)
	}
}

// Hung relays and dead nodes must be reported as unreachable, and must not
// prevent the other nodes below a watcher from answering in time.
func TestQueryVersionsReportsUnreachable(t *testing.T) {
	inFleetOf(t, 3, 2, 20, func(f *testFleet) {
		f.kill(f.byRole(topology.Leaf))
		f.store.put(account(2))
		f.advance(convergeTimeout)
		hung := map[string]bool{}
		for _, region := range []string{"r0", "r1", "r2"} {
			hung[f.inRegion(region, topology.Relay).member.Address] = true
		}
		f.net.setBlocked(func(from, to string) bool { return hung[to] })
		f.net.takeCounts()
		got := f.inRegion("r2", topology.Leaf).QueryVersions(f.t.Context(), "account/daehan")
		if len(got.Unreachable) != 4 || len(got.Rows) != len(f.nodes)-3 {
			f.t.Fatalf("%d rows, unreachable %v", len(got.Rows), got.Unreachable)
		}
		// Each node answers once. A watcher that answered too late would cause
		// the nodes below it to be queried again.
		answers := f.net.takeCounts()["survey"]
		if answers > len(f.nodes) {
			f.t.Errorf("%d answers for %d nodes", answers, len(f.nodes))
		}
		for _, row := range got.Rows {
			if row.Sequence != 2 {
				f.t.Errorf("%s has %d", row.VM, row.Sequence)
			}
		}
	})
}

// Many hung nodes must not prevent the others from being queried.
func TestQueryVersionsWithManyHungNodes(t *testing.T) {
	inFleetOf(t, 1, 2, 70, func(f *testFleet) {
		hung := map[string]bool{}
		for _, n := range f.nodes {
			hung[n.member.Address] = n.member.FailureDomain == "r0-p0"
		}
		asks := f.nodes["r0-p1-vm100"]
		f.net.setBlocked(func(from, to string) bool { return hung[to] || hung[from] })
		// Without watchers in the plan, all peers are queried directly.
		asks.plan.Store(&topology.Plan{Peers: asks.plan.Load().Peers})
		got := asks.QueryVersions(f.t.Context(), "account/daehan")
		if len(got.Unreachable) != 70 || len(got.Rows) != 70 {
			f.t.Fatalf("%d rows, %d unreachable", len(got.Rows), len(got.Unreachable))
		}
	})
}

// When a VM subscribes again, its previous stream must end.
func TestResubscribeEndsOldStream(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		relay := f.byRole(topology.Relay)
		l := link{net: f.net, from: "127.9.9.9:1", to: relay.member.Address}
		client := peerpb.NewSpreadClient(l)
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		old, err := client.Subscribe(ctx, &peerpb.SubscribeRequest{Node: ref("a")})
		if err != nil {
			f.t.Fatal(err)
		}
		f.advance(time.Second)
		if _, err := client.Subscribe(ctx, &peerpb.SubscribeRequest{Node: ref("a")}); err != nil {
			f.t.Fatal(err)
		}
		f.advance(time.Second)
		if _, err := old.Recv(); err != nil {
			f.t.Fatal(err)
		}
		if _, err := old.Recv(); status.Code(err) != codes.Aborted {
			f.t.Errorf("previous stream was not aborted: %v", err)
		}
	})
}

// A VM that subscribes again must replace its previous subscription rather than
// use up the subscriber limit.
func TestResubscribeReplacesSubscriber(t *testing.T) {
	s, err := New(Options{Ref: ref("a"), Members: noMembers, Dial: noDial})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 * topology.MaxSubscribers {
		if _, err := s.server.admit(ref("b")); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(s.server.list()); n != 1 || len(s.hub.queues) != 2 {
		t.Errorf("%d subscribers, %d queues", n, len(s.hub.queues))
	}
}

// Subscribers beyond the limit must be rejected.
func TestSubscribersAreBounded(t *testing.T) {
	s, err := New(Options{Ref: ref("a"), Members: noMembers, Dial: noDial})
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	for i := range topology.MaxSubscribers + 5 {
		if _, err := s.server.admit(ref(string(rune('b' + i)))); err != nil {
			refused++
		}
	}
	if refused != 5 {
		t.Errorf("%d rejected", refused)
	}
}

// A slow listener may skip intermediate states but must receive the latest.
func TestSlowListenerGetsTheLatest(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		var mu sync.Mutex
		var got []uint64
		n := f.byRole(topology.Leaf)
		n.OnItem("account/", func(it item.Item) {
			time.Sleep(time.Second)
			mu.Lock()
			got = append(got, it.Sequence)
			mu.Unlock()
		})
		for sequence := uint64(2); sequence < 30; sequence++ {
			f.store.put(account(sequence))
			f.advance(100 * time.Millisecond)
		}
		f.advance(convergeTimeout)
		if got[0] != 1 || got[len(got)-1] != 29 || len(got) >= 29 {
			f.t.Errorf("got %v", got)
		}
	})
}
