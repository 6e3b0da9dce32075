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

// The store is out for ten minutes and comes back. Only the watchers may try it
// meanwhile, each with pauses, and changes made then must be in force within
// seconds of its return.
func TestStoreOutage(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setOut(true)
		f.after(time.Minute)
		f.store.begun()
		const outage = 10 * time.Minute
		f.after(outage)
		watchers := 3 * topology.WatchersPerRegion
		// The longest pause less its jitter.
		limit := watchers * int(outage/(sourcePauseMax*8/10))
		if n := f.store.begun(); n > limit {
			f.t.Errorf("%d attempts, at most %d expected", n, limit)
		}
		f.mustHave(account(1))
		f.store.put(account(2))
		f.store.setOut(false)
		f.after(inForce)
		f.mustHave(account(2))
		if n := f.store.begun(); n > 2*watchers {
			f.t.Errorf("%d attempts when it returned", n)
		}
	})
}

// A VM starts while the store is out. It must learn what is in force from its
// peers before it says it is ready, and a VM that is new itself is no peer to
// learn from.
func TestNewNodesWhileStoreIsOut(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setOut(true)
		f.after(time.Second)
		want := account(2)
		if err := f.byRole(topology.Leaf).Publish(want.Key, want.Epoch, want.Sequence, want.Body); err != nil {
			f.t.Fatal(err)
		}
		f.after(time.Second)
		var fresh []*testNode
		for range 4 {
			fresh = append(fresh, f.start(f.addVM("r1", "r1-p0")))
		}
		f.mustLearn(fresh, want)
	})
}

// mustLearn steps time until all nodes are ready; none may be so without the
// item.
func (f *testFleet) mustLearn(nodes []*testNode, want item.Item) {
	f.t.Helper()
	const step = 5 * time.Millisecond
	for range int(inForce / step) {
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
		f.after(step)
	}
	f.t.Fatalf("nodes are not ready after %s", inForce)
}

// The whole fleet starts while the store is out: nobody knows anything, and
// nobody may say it is ready because all agree on nothing.
func TestFleetStartsWithoutStore(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setOut(true)
		for _, n := range f.nodes {
			f.kill(n)
		}
		for _, m := range topology.FromList(f.list) {
			f.start(m)
		}
		f.after(time.Minute)
		for vm, n := range f.nodes {
			if n.Ready() {
				f.t.Fatalf("%s is ready and knows nothing", vm)
			}
		}
		f.store.setOut(false)
		f.after(settle)
		f.mustHave(account(1))
	})
}

// The store is restored from a copy and offers older states; then a change is
// written that is later than the copy but older than what is in force. No node
// may take either, and status must name the key.
func TestRestoredStoreOffersOlder(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.put(account(9))
		f.after(time.Second)
		f.neverBack("account/daehan")
		f.store.put(account(3))
		f.after(time.Minute)
		f.store.put(account(4))
		f.after(time.Minute)
		f.mustHave(account(9))
		behind := f.byRole(topology.Watcher).Status().StaleOffers
		if len(behind) != 1 || behind[0].OfferedSequence != 4 || behind[0].ActiveSequence != 9 {
			f.t.Errorf("behind: %+v", behind)
		}
	})
}

// neverBack fails the test when a node's listener is given an older state
// after a later one.
func (f *testFleet) neverBack(prefix string) {
	for _, n := range f.nodes {
		f.neverBackOn(n, prefix)
	}
}

func (f *testFleet) neverBackOn(n *testNode, prefix string) {
	last := map[string]item.Item{}
	n.OnItem(prefix, func(it item.Item) {
		// Content has no versions: it is dropped and may be named again.
		if content.IsKey(it.Key) {
			return
		}
		if old, ok := last[it.Key]; ok && !it.NewerThan(old) {
			f.t.Errorf("%s was given %s %d.%d after %d.%d", n.member.VM, it.Key, it.Epoch, it.Sequence, old.Epoch, old.Sequence)
		}
		last[it.Key] = it
	})
}

// Two watchers read different states under one version, from two replicas of a
// store that was restored. All nodes must settle on one and the same.
func TestWatchersDisagree(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.setOut(true)
		f.after(time.Second)
		one := item.New("account/daehan", 1, 2, []byte("one"))
		other := item.New("account/daehan", 1, 2, []byte("other"))
		f.inRegion("r0", topology.Watcher).source.emit(one.Key, 1, 2, one.Body)
		f.inRegion("r1", topology.Watcher).source.emit(other.Key, 1, 2, other.Body)
		f.after(inForce)
		if other.NewerThan(one) {
			one = other
		}
		f.mustHave(one)
	})
}

// A VM is paused for ten minutes while changes arrive, and then resumes; what
// others sent it before the pause arrives late. It must not be ready by its
// old items, and must not go back.
func TestPausedNodeResumes(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		paused := f.byRole(topology.Leaf)
		f.neverBack("account/daehan")
		f.net.setBlocked(func(from, to string) bool {
			return from == paused.member.Address || to == paused.member.Address
		})
		for sequence := uint64(2); sequence < 12; sequence++ {
			f.store.put(account(sequence))
			f.after(time.Minute)
		}
		paused.ready.reset()
		f.net.setBlocked(func(string, string) bool { return false })
		f.mustLearn([]*testNode{paused}, account(11))
		f.mustHave(account(11))
	})
}

// The pause itself is seen as a gap between two rounds of a loop, by whichever
// clock moved.
func TestPauseIsSeen(t *testing.T) {
	start := time.Now()
	if got := pausedFor(start, start.Add(time.Minute)); got != time.Minute {
		t.Errorf("monotonic clock moved: %s", got)
	}
	wall := start.Round(0).Add(time.Minute)
	if got := pausedFor(start, wall); got != time.Minute {
		t.Errorf("only the wall clock moved: %s", got)
	}
}

// An operator asks which nodes have a change just as a relay in each region
// begins to hang and one node is dead. These must be listed as not reached;
// the watchers above those relays must not wait for them until it is too late
// to answer for the rest.
func TestSurveyNamesTheUnreachable(t *testing.T) {
	inFleetOf(t, 3, 2, 20, func(f *testFleet) {
		f.kill(f.byRole(topology.Leaf))
		f.store.put(account(2))
		f.after(inForce)
		hung := map[string]bool{}
		for _, region := range []string{"r0", "r1", "r2"} {
			hung[f.inRegion(region, topology.Relay).member.Address] = true
		}
		f.net.setBlocked(func(from, to string) bool { return hung[to] })
		f.net.counted()
		got := f.inRegion("r2", topology.Leaf).QueryVersions(f.t.Context(), "account/daehan")
		if len(got.Unreachable) != 4 || len(got.Rows) != len(f.nodes)-3 {
			f.t.Fatalf("%d rows, unreachable %v", len(got.Rows), got.Unreachable)
		}
		// Each node answers once. A watcher that answered too late would make
		// all below it be asked again.
		answers := f.net.counted()["survey"]
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

// A failure domain of 70 VMs hangs and an operator asks which nodes have a
// change. The first VMs asked take no answer; the others must still be asked.
func TestSurveyPastManyThatHang(t *testing.T) {
	inFleetOf(t, 1, 2, 70, func(f *testFleet) {
		hung := map[string]bool{}
		for _, n := range f.nodes {
			hung[n.member.Address] = n.member.FailureDomain == "r0-p0"
		}
		asks := f.nodes["r0-p1-vm100"]
		f.net.setBlocked(func(from, to string) bool { return hung[to] || hung[from] })
		// Nobody below the watchers is found through them.
		asks.plan.Store(&topology.Plan{Peers: asks.plan.Load().Peers})
		got := asks.QueryVersions(f.t.Context(), "account/daehan")
		if len(got.Unreachable) != 70 || len(got.Rows) != 70 {
			f.t.Fatalf("%d rows, %d unreachable", len(got.Rows), len(got.Unreachable))
		}
	})
}

// A VM subscribes again while its old stream is half-open. The old one must
// end, or the relay would go on sending into it.
func TestOldStreamOfARestartedVMEnds(t *testing.T) {
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
		f.after(time.Second)
		if _, err := client.Subscribe(ctx, &peerpb.SubscribeRequest{Node: ref("a")}); err != nil {
			f.t.Fatal(err)
		}
		f.after(time.Second)
		if _, err := old.Recv(); err != nil {
			f.t.Fatal(err)
		}
		if _, err := old.Recv(); status.Code(err) != codes.Aborted {
			f.t.Errorf("old stream goes on: %v", err)
		}
	})
}

// A restarted VM subscribes again while its old stream is half-open. It takes
// over its place; otherwise a few restarts would use up the relay's bound.
func TestRestartTakesOverItsPlace(t *testing.T) {
	s, err := New(Options{Ref: ref("a"), Members: noMembers, Dial: noDial})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 * topology.MaxSubscribers {
		if _, err := s.server.join(ref("b")); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(s.server.list()); n != 1 || len(s.hub.waiters) != 2 {
		t.Errorf("%d subscribers, %d waiters", n, len(s.hub.waiters))
	}
}

// More nodes than a relay takes ask for it: the rest must be turned away.
func TestSubscribersAreBounded(t *testing.T) {
	s, err := New(Options{Ref: ref("a"), Members: noMembers, Dial: noDial})
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	for i := range topology.MaxSubscribers + 5 {
		if _, err := s.server.join(ref(string(rune('b' + i)))); err != nil {
			refused++
		}
	}
	if refused != 5 {
		t.Errorf("%d refused", refused)
	}
}

// A listener is slow while one key changes often: it may miss states between,
// not the last, and others' items in the meantime keep their order.
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
			f.after(100 * time.Millisecond)
		}
		f.after(inForce)
		if got[0] != 1 || got[len(got)-1] != 29 || len(got) >= 29 {
			f.t.Errorf("got %v", got)
		}
	})
}
