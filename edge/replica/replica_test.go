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

// vm is one copy of a store with what it was told.
type vm struct {
	*Replica
	mu      sync.Mutex
	changes []Change
	watches atomic.Bool
	// standby makes it a VM that watches behind a first one.
	standby atomic.Bool
	// spare makes it a VM that watches in place of others.
	spare bool
}

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func newVM(kv store.KV, watches bool, fetch func(after store.Revision) (Snapshot, error)) *vm {
	v := &vm{}
	v.watches.Store(watches)
	v.Replica = New(Options{
		KV: kv, Logger: quiet(),
		Changed: func(changes []Change) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.changes = append(v.changes, changes...)
		},
		FetchSnapshot:    func(_ context.Context, _ string, after store.Revision) (Snapshot, error) { return fetch(after) },
		ShouldWatch:      func() bool { return v.watches.Load() },
		IsWatchLeader:    func() bool { return !v.standby.Load() },
		IsDefaultWatcher: func() bool { return !v.spare },
	})
	return v
}

func (v *vm) value(key string) string {
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

// bubble runs a test with virtual time and ends its goroutines.
func bubble(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(t, ctx)
		cancel()
		synctest.Wait()
	})
}

func TestFollowsTheStore(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		kv := memkv.New(memkv.Options{WatchWait: time.Second})
		put(t, kv, "a", "1")
		v := newVM(kv, true, noFetch)
		go v.Run(ctx)
		time.Sleep(time.Second)
		put(t, kv, "a", "2")
		put(t, kv, "b", "1")
		time.Sleep(2 * gather)
		if v.value("a") != "2" || v.value("b") != "1" {
			t.Fatalf("a %q, b %q", v.value("a"), v.value("b"))
		}
		e, _ := kv.Get(ctx, "b")
		if err := kv.Delete(ctx, "b", e.Revision); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * gather)
		if v.value("b") != "" || !v.Connected() {
			t.Fatal("a removal was not followed")
		}
	})
}

// The one VM of a region that watches is cut off and comes back with what it missed.
// A follower hears two VMs by turns: one that is ahead, and one that is as far
// behind as itself. It stayed behind for good, as each word of the second one
// made it begin its wait anew; requests went to a target that had left.
func TestFollowerCatchesUpBesideAnotherThatIsBehind(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		ahead := Snapshot{At: 9, Items: []store.Entry{{Key: "a", Value: []byte("new"), Revision: 9}}}
		v := newVM(nil, true, func(store.Revision) (Snapshot, error) { return ahead, nil })
		v.ApplySnapshot(Snapshot{At: 5, Items: []store.Entry{{Key: "a", Value: []byte("old"), Revision: 5}}})
		for range 10 {
			v.ObservePeer(ctx, "ahead", false, 9, time.Now())
			v.ObservePeer(ctx, "behind", true, 5, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		if v.value("a") != "new" {
			t.Fatal("the copy stayed behind")
		}
	})
}

// A VM that does not watch makes no calls, and gets each change from one that does,
// as the difference only.
func TestFollowerMakesNoCalls(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		kv := memkv.New(memkv.Options{WatchWait: time.Second})
		put(t, kv, "a", "1")
		watcher := newVM(kv, true, noFetch)
		partial := 0
		follower := newVM(kv, false, func(after store.Revision) (Snapshot, error) {
			c := watcher.SnapshotAfter(after)
			if c.Partial {
				partial++
			}
			return c, nil
		})
		go watcher.Run(ctx)
		go follower.Run(ctx)
		time.Sleep(time.Second)
		for i := range 5 {
			put(t, kv, "a", fmt.Sprint(i))
			time.Sleep(2 * gather)
			at, _ := watcher.Revision()
			follower.ObservePeer(ctx, "watcher", true, at, time.Now())
			synctest.Wait()
			if got := follower.value("a"); got != fmt.Sprint(i) {
				t.Fatalf("change %d: %q", i, got)
			}
		}
		if partial != 5 {
			t.Errorf("%d of 5 changes came as a difference", partial)
		}
		if calls := follower.Calls(); calls != 1 {
			t.Errorf("the follower made %d calls, one for its first copy wanted", calls)
		}
	})
}

// Copies overtake each other on the way. An older one must not bring old values back.
func TestOlderCopyChangesNothing(t *testing.T) {
	v := newVM(nil, true, noFetch)
	v.ApplySnapshot(Snapshot{At: 8, Items: []store.Entry{{Key: "a", Value: []byte("new"), Revision: 8}}})
	v.ApplySnapshot(Snapshot{At: 6, Items: []store.Entry{{Key: "a", Value: []byte("old"), Revision: 6}, {Key: "b", Revision: 3}}})
	v.ApplySnapshot(Snapshot{At: 9, Partial: true, After: 8, Items: []store.Entry{{Key: "a", Value: []byte("old"), Revision: 6}}})
	if v.value("a") != "new" {
		t.Errorf("a went back to %q", v.value("a"))
	}
	// What changed between 9 and 11 is not known here.
	v.ApplySnapshot(Snapshot{At: 12, Partial: true, After: 11})
	if at, _ := v.Revision(); at != 9 {
		t.Errorf("revision %d after a copy with a gap", at)
	}
}

// The store's history is gone while it also lost keys. All is read, and what is
// missing is told apart from what was removed.
func TestListedRemovalIsMarked(t *testing.T) {
	v := newVM(nil, true, noFetch)
	v.ApplySnapshot(Snapshot{At: 5, Items: []store.Entry{{Key: "a", Revision: 4}, {Key: "b", Revision: 5}}})
	v.changes = nil
	v.ApplySnapshot(Snapshot{At: 7, Items: []store.Entry{{Key: "a", Revision: 4}}})
	if len(v.changes) != 1 || !v.changes[0].Removed || !v.changes[0].FromSnapshot || v.changes[0].Entry.Key != "b" {
		t.Errorf("changes %+v", v.changes)
	}
	v.apply(store.Batch{At: 8, Events: []store.Event{{Entry: store.Entry{Key: "a", Revision: 8}, Deleted: true}}})
	if last := v.changes[len(v.changes)-1]; last.FromSnapshot || !last.Removed {
		t.Errorf("removal %+v", last)
	}
}

// More changes come than are remembered. A VM that is far behind gets the whole copy.
func TestDistantCopyIsWhole(t *testing.T) {
	v := newVM(nil, true, noFetch)
	v.ApplySnapshot(Snapshot{At: 1, Items: []store.Entry{{Key: "a", Revision: 1}}})
	for i := range 2 * kept {
		at := store.Revision(2 + i)
		v.apply(store.Batch{At: at, Events: []store.Event{{Entry: store.Entry{Key: "a", Revision: at}}}})
	}
	if c := v.SnapshotAfter(5); c.Partial || len(c.Items) != 1 {
		t.Errorf("copy %+v", c)
	}
	at, _ := v.Revision()
	if c := v.SnapshotAfter(at - 3); !c.Partial || len(c.Items) != 3 {
		t.Errorf("copy %+v", c)
	}
}

// downKV is a store that does not answer.
type downKV struct{ store.KV }

func (downKV) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, store.ErrUnavailable
}

// Watch implements store.KV.
func (downKV) Watch(context.Context, string, store.Revision) (store.Batch, error) {
	return store.Batch{}, store.ErrUnavailable
}

// A VM starts while the store is away. It waits longer and longer between calls, and
// takes its first copy from another VM.
func TestFirstCopyFromAPeer(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		v := newVM(downKV{}, true, func(store.Revision) (Snapshot, error) {
			return Snapshot{At: 3, Items: []store.Entry{{Key: "a", Value: []byte("1"), Revision: 2}}}, nil
		})
		go v.Run(ctx)
		time.Sleep(10 * time.Second)
		if v.Calls() > 20 {
			t.Errorf("%d calls in 10 s to a store that is away", v.Calls())
		}
		for range 5 {
			v.ObservePeer(ctx, "peer", true, 3, time.Now())
			time.Sleep(behindFor / 2)
		}
		if v.value("a") != "1" || v.Connected() {
			t.Error("no copy from the peer")
		}
	})
}

// The store is away. The VMs that watch while all is well try about once a second; those that
// would take over, all others of the region, seldom do: each call has a price. All are back
// soon after the store.
func TestFewTryWhileTheStoreIsAway(t *testing.T) {
	for _, c := range []struct {
		spare       bool
		least, most uint64
	}{{false, 10, 18}, {true, 3, 8}} {
		synctest.Test(t, func(t *testing.T) {
			kv := faultkv.New(memkv.New(memkv.Options{}), nil)
			put(t, kv, "a", "1")
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			v := newVM(kv, true, noFetch)
			v.spare = c.spare
			go v.Run(ctx)
			time.Sleep(time.Second)
			before := v.Calls()
			kv.SetOutage(true)
			time.Sleep(10 * time.Second)
			if n := v.Calls() - before; n < c.least || n > c.most {
				t.Errorf("spare %v: %d calls in 10 s, want %d to %d", c.spare, n, c.least, c.most)
			}
			kv.SetOutage(false)
			put(t, kv, "a", "2")
			time.Sleep(spareRetry + gather)
			if got := v.value("a"); got != "2" {
				t.Errorf("spare %v: has %q after the outage", c.spare, got)
			}
		})
	}
}

// hanging is a store whose watches bring nothing and never end.
type hanging struct {
	store.KV
	cut atomic.Bool
}

func (h *hanging) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	if h.cut.Load() {
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return h.KV.Watch(ctx, prefix, after)
}

func (h *hanging) List(ctx context.Context, prefix string) (store.Listing, error) {
	if h.cut.Load() {
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	}
	return h.KV.List(ctx, prefix)
}

// A VM is cut off from the store with a watch under way. Told by a call that was not
// answered, it no longer claims to follow the store, and follows it again after the cut.
func TestUnansweredEndsAWatchThatHangs(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		kv := &hanging{KV: memkv.New(memkv.Options{WatchWait: time.Second})}
		v := newVM(kv, true, noFetch)
		go v.Run(ctx)
		time.Sleep(5 * time.Second)
		if !v.Connected() || !v.Watching() {
			t.Fatal("the store is not followed")
		}
		kv.cut.Store(true)
		time.Sleep(2 * time.Second)
		v.CancelWatch()
		synctest.Wait()
		if v.Connected() {
			t.Error("linked though the store does not answer")
		}
		kv.cut.Store(false)
		v.CancelWatch()
		time.Sleep(5 * time.Second)
		if !v.Connected() {
			t.Error("the store is not followed after the cut")
		}
	})
}
