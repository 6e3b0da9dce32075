package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// testVM is a replica that records its changes.
type testVM struct {
	*Replica
	mu      sync.Mutex
	changes []Change
	watches atomic.Bool
	// standby makes it a watcher that is not the watch leader.
	standby atomic.Bool
	// backup makes it a VM that is not a default watcher.
	backup bool
}

func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func newTestVM(kv store.KV, watches bool, fetch func(after store.Revision) (Snapshot, error)) *testVM {
	v := &testVM{}
	v.watches.Store(watches)
	v.Replica = New(Options{
		KV: kv, Logger: discardLogger(),
		Changed: func(changes []Change) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.changes = append(v.changes, changes...)
		},
		FetchSnapshot:    func(_ context.Context, _ string, after store.Revision) (Snapshot, error) { return fetch(after) },
		ShouldWatch:      func() bool { return v.watches.Load() },
		IsWatchLeader:    func() bool { return !v.standby.Load() },
		IsDefaultWatcher: func() bool { return !v.backup },
	})
	return v
}

func (v *testVM) value(key string) string {
	v.Replica.mu.Lock()
	defer v.Replica.mu.Unlock()
	return string(v.items[key].Value)
}

func noFetch(store.Revision) (Snapshot, error) { return Snapshot{}, errors.New("no peer") }

func put(t *testing.T, kv store.KV, key, value string) {
	t.Helper()
	ctx := context.Background()
	at := store.Revision(0)
	if e, err := kv.Get(ctx, key); err == nil {
		at = e.Revision
	}
	if _, err := kv.Swap(ctx, key, []byte(value), at, 0); err != nil {
		t.Fatal(err)
	}
}

// runSynctest runs a test with virtual time and ends its goroutines.
func runSynctest(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(t, ctx)
		cancel()
		synctest.Wait()
	})
}

func TestFollowsTheStore(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		kv := memkv.New(memkv.Options{WatchWait: time.Second})
		put(t, kv, "a", "1")
		v := newTestVM(kv, true, noFetch)
		go v.Run(ctx)
		time.Sleep(time.Second)
		put(t, kv, "a", "2")
		put(t, kv, "b", "1")
		time.Sleep(2 * batchDelay)
		if v.value("a") != "2" || v.value("b") != "1" {
			t.Fatalf("a is %q, b is %q, want 2 and 1", v.value("a"), v.value("b"))
		}
		e, _ := kv.Get(ctx, "b")
		if err := kv.Delete(ctx, "b", e.Revision); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * batchDelay)
		if v.value("b") != "" || !v.Connected() {
			t.Fatal("b was not removed, or the replica is not connected")
		}
	})
}

// A replica gets reports of a peer that is ahead and of one that is as far behind as itself.
// The reports of the second one must not restart the catch-up delay.
func TestFollowerCatchesUpDespiteLaggingPeer(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		ahead := Snapshot{At: 9, Items: []store.Entry{{Key: "a", Value: []byte("new"), Revision: 9}}}
		v := newTestVM(nil, true, func(store.Revision) (Snapshot, error) { return ahead, nil })
		v.ApplySnapshot(Snapshot{At: 5, Items: []store.Entry{{Key: "a", Value: []byte("old"), Revision: 5}}})
		for range 10 {
			v.ObservePeer(ctx, "ahead", false, 9, time.Now())
			v.ObservePeer(ctx, "behind", true, 5, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		if v.value("a") != "new" {
			t.Fatal("the replica stayed behind")
		}
	})
}

// A VM that does not watch calls the store only once, and gets each change from a watcher as
// a partial snapshot.
func TestFollowerMakesNoCalls(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		kv := memkv.New(memkv.Options{WatchWait: time.Second})
		put(t, kv, "a", "1")
		watcher := newTestVM(kv, true, noFetch)
		partial := 0
		follower := newTestVM(kv, false, func(after store.Revision) (Snapshot, error) {
			snapshot := watcher.SnapshotAfter(after)
			if snapshot.Partial {
				partial++
			}
			return snapshot, nil
		})
		go watcher.Run(ctx)
		go follower.Run(ctx)
		time.Sleep(time.Second)
		for i := range 5 {
			put(t, kv, "a", fmt.Sprint(i))
			time.Sleep(2 * batchDelay)
			at, _ := watcher.Revision()
			follower.ObservePeer(ctx, "watcher", true, at, time.Now())
			synctest.Wait()
			if got := follower.value("a"); got != fmt.Sprint(i) {
				t.Fatalf("change %d: value is %q", i, got)
			}
		}
		if partial != 5 {
			t.Errorf("%d of 5 changes came as partial snapshots", partial)
		}
		if calls := follower.Calls(); calls != 1 {
			t.Errorf("the follower made %d calls, want 1 for its first snapshot", calls)
		}
	})
}

// Snapshots can arrive out of order. An older one must not restore old values.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	v := newTestVM(nil, true, noFetch)
	v.ApplySnapshot(Snapshot{At: 8, Items: []store.Entry{{Key: "a", Value: []byte("new"), Revision: 8}}})
	v.ApplySnapshot(Snapshot{At: 6, Items: []store.Entry{{Key: "a", Value: []byte("old"), Revision: 6}, {Key: "b", Revision: 3}}})
	v.ApplySnapshot(Snapshot{At: 9, Partial: true, After: 8, Items: []store.Entry{{Key: "a", Value: []byte("old"), Revision: 6}}})
	if v.value("a") != "new" {
		t.Errorf("a went back to %q", v.value("a"))
	}
	// The changes between 9 and 11 are missing.
	v.ApplySnapshot(Snapshot{At: 12, Partial: true, After: 11})
	if at, _ := v.Revision(); at != 9 {
		t.Errorf("revision %d after a snapshot with a gap", at)
	}
}

// A key that is missing from a full snapshot, or removed by an event, must be reported as
// removed, once each.
func TestRemovalIsReported(t *testing.T) {
	v := newTestVM(nil, true, noFetch)
	v.ApplySnapshot(Snapshot{At: 5, Items: []store.Entry{{Key: "a", Revision: 4}, {Key: "b", Revision: 5}}})
	v.changes = nil
	v.ApplySnapshot(Snapshot{At: 7, Items: []store.Entry{{Key: "a", Revision: 4}}})
	if len(v.changes) != 1 || !v.changes[0].Removed || v.changes[0].Entry.Key != "b" {
		t.Errorf("changes %+v", v.changes)
	}
	v.apply(store.Batch{At: 8, Events: []store.Event{{Entry: store.Entry{Key: "a", Revision: 8}, Deleted: true}}})
	if last := v.changes[len(v.changes)-1]; len(v.changes) != 2 || !last.Removed || last.Entry.Key != "a" {
		t.Errorf("changes %+v", v.changes)
	}
}

// A listing may hold items that are newer than its revision. A VM that copies their changes
// from here must get them, or it would never learn of a target that drains.
func TestPartialSnapshotHasItemsNewerThanTheListing(t *testing.T) {
	v := newTestVM(nil, true, noFetch)
	ready := store.Entry{Key: "a", Value: []byte("ready"), Revision: 4}
	draining := store.Entry{Key: "a", Value: []byte("draining"), Revision: 7}
	v.ApplySnapshot(Snapshot{At: 5, Items: []store.Entry{draining}})
	v.apply(store.Batch{At: 8, Events: []store.Event{{Entry: draining}, {Entry: store.Entry{Key: "b", Revision: 8}}}})
	if len(v.changes) != 2 {
		t.Errorf("%d changes reported, want each of 2 items once", len(v.changes))
	}

	follower := newTestVM(nil, false, noFetch)
	follower.ApplySnapshot(Snapshot{At: 6, Items: []store.Entry{ready}})
	follower.ApplySnapshot(v.SnapshotAfter(6))
	if at, _ := follower.Revision(); at != 8 || follower.value("a") != "draining" {
		t.Errorf("target is %q at revision %d, want draining at 8", follower.value("a"), at)
	}
	// Copies of what is known already are not recorded again.
	v.ApplySnapshot(Snapshot{At: 9, Partial: true, After: 5, Items: []store.Entry{draining, {Key: "c", Revision: 9}}})
	if s := v.SnapshotAfter(5); len(s.Items) != 3 {
		t.Errorf("%d items after 5, want 3", len(s.Items))
	}
}

// A VM that is behind by more changes than are kept gets a full snapshot.
func TestFullSnapshotForDistantRevision(t *testing.T) {
	v := newTestVM(nil, true, noFetch)
	v.ApplySnapshot(Snapshot{At: 1, Items: []store.Entry{{Key: "a", Revision: 1}}})
	for i := range 2 * maxRecentChanges {
		at := store.Revision(2 + i)
		v.apply(store.Batch{At: at, Events: []store.Event{{Entry: store.Entry{Key: "a", Revision: at}}}})
	}
	if s := v.SnapshotAfter(5); s.Partial || len(s.Items) != 1 {
		t.Errorf("snapshot %+v, want a full one of 1 item", s)
	}
	at, _ := v.Revision()
	if s := v.SnapshotAfter(at - 3); !s.Partial || len(s.Items) != 3 {
		t.Errorf("snapshot %+v, want a partial one of 3 items", s)
	}
}

// unavailableKV is a store whose calls fail.
type unavailableKV struct{ store.KV }

func (unavailableKV) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, store.ErrUnavailable
}

// Watch implements store.KV.
func (unavailableKV) Watch(context.Context, string, store.Revision) (store.Batch, error) {
	return store.Batch{}, store.ErrUnavailable
}

// A VM starts during an outage of the store. It backs off between calls and gets its first
// snapshot from a peer.
func TestFirstSnapshotFromPeer(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		v := newTestVM(unavailableKV{}, true, func(store.Revision) (Snapshot, error) {
			return Snapshot{At: 3, Items: []store.Entry{{Key: "a", Value: []byte("1"), Revision: 2}}}, nil
		})
		go v.Run(ctx)
		time.Sleep(10 * time.Second)
		if v.Calls() > 20 {
			t.Errorf("%d calls in 10 s of an outage, want at most 20", v.Calls())
		}
		for range 5 {
			v.ObservePeer(ctx, "peer", true, 3, time.Now())
			time.Sleep(catchUpDelay / 2)
		}
		if v.value("a") != "1" || v.Connected() {
			t.Error("no snapshot from the peer, or connected without a store")
		}
	})
}

// Guards against an outage in which all VMs of a region retry at the rate of the default
// watchers, and against backup watchers that do not recover after it.
func TestRetryRateDuringOutage(t *testing.T) {
	for _, c := range []struct {
		backup      bool
		least, most uint64
	}{{false, 10, 18}, {true, 3, 8}} {
		synctest.Test(t, func(t *testing.T) {
			kv := faultkv.New(memkv.New(memkv.Options{}), nil)
			put(t, kv, "a", "1")
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			v := newTestVM(kv, true, noFetch)
			v.backup = c.backup
			go v.Run(ctx)
			time.Sleep(time.Second)
			before := v.Calls()
			kv.SetOutage(true)
			time.Sleep(10 * time.Second)
			if n := v.Calls() - before; n < c.least || n > c.most {
				t.Errorf("backup %v: %d calls in 10 s, want %d to %d", c.backup, n, c.least, c.most)
			}
			kv.SetOutage(false)
			put(t, kv, "a", "2")
			time.Sleep(backupRetryPause + batchDelay)
			if got := v.value("a"); got != "2" {
				t.Errorf("backup %v: value is %q after the outage, want 2", c.backup, got)
			}
		})
	}
}

// hangingKV is a store whose calls hang until they are canceled.
type hangingKV struct {
	store.KV
	hang atomic.Bool
}

func (h *hangingKV) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	if h.hang.Load() {
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return h.KV.Watch(ctx, prefix, after)
}

func (h *hangingKV) List(ctx context.Context, prefix string) (store.Listing, error) {
	if h.hang.Load() {
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	}
	return h.KV.List(ctx, prefix)
}

// A VM loses the store while its watch is under way. CancelWatch must make it report the
// loss before the watch times out.
func TestCancelWatchEndsHangingWatch(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		kv := &hangingKV{KV: memkv.New(memkv.Options{WatchWait: time.Second})}
		v := newTestVM(kv, true, noFetch)
		go v.Run(ctx)
		time.Sleep(5 * time.Second)
		if !v.Connected() || !v.Watching() {
			t.Fatal("not connected to the store")
		}
		kv.hang.Store(true)
		time.Sleep(2 * time.Second)
		v.CancelWatch()
		synctest.Wait()
		if v.Connected() {
			t.Error("connected although the store does not answer")
		}
		kv.hang.Store(false)
		v.CancelWatch()
		time.Sleep(5 * time.Second)
		if !v.Connected() {
			t.Error("not connected after the store answers again")
		}
	})
}

// The answer to a watch can arrive after a newer snapshot of another VM. A key that was written and removed in
// between must not come back with it: an evacuation that was taken back would last on this VM.
func TestLateWatchDoesNotBringBackRemovedKeys(t *testing.T) {
	v := newTestVM(nil, true, noFetch)
	v.ApplySnapshot(Snapshot{At: 5, Items: []store.Entry{{Key: "a", Revision: 4}}})
	v.ApplySnapshot(Snapshot{At: 9, Items: []store.Entry{{Key: "a", Revision: 4}}})
	v.changes = nil
	v.apply(store.Batch{At: 7, Events: []store.Event{{Entry: store.Entry{Key: "b", Value: []byte("1"), Revision: 6}}}})
	if at, _ := v.Revision(); v.value("b") != "" || len(v.changes) > 0 || at != 9 {
		t.Errorf("b is %q at revision %d, changes %+v", v.value("b"), at, v.changes)
	}
	// Later events of the same answer count.
	v.apply(store.Batch{At: 10, Events: []store.Event{
		{Entry: store.Entry{Key: "b", Value: []byte("1"), Revision: 6}}, {Entry: store.Entry{Key: "c", Value: []byte("2"), Revision: 10}},
	}})
	if v.value("b") != "" || v.value("c") != "2" {
		t.Errorf("b is %q, c is %q", v.value("b"), v.value("c"))
	}
}
