package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// staleKV answers listings that may be stale with an old one and counts the others.
type staleKV struct {
	store.KV
	old        store.Listing
	freshLists atomic.Int32
}

// List implements store.KV.
func (s *staleKV) List(ctx context.Context, prefix string) (store.Listing, error) {
	if store.IsStaleAllowed(ctx) {
		return s.old, nil
	}
	s.freshLists.Add(1)
	return s.KV.List(ctx, prefix)
}

// The first listing may be stale, which is cheaper. A target that was removed meanwhile must
// be gone after the first watch.
func TestStaleFirstSnapshotCatchesUp(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		kv := &staleKV{KV: memkv.New(memkv.Options{WatchWait: time.Second})}
		put(t, kv, "a", "1")
		put(t, kv, "left", "1")
		old, err := kv.KV.List(ctx, "")
		if err != nil {
			t.Fatal(err)
		}
		kv.old = old
		put(t, kv, "a", "2")
		left, _ := kv.Get(ctx, "left")
		if err := kv.Delete(ctx, "left", left.Revision); err != nil {
			t.Fatal(err)
		}
		v := newTestVM(kv, true, noFetch)
		go v.Run(ctx)
		time.Sleep(2 * firstWatchDelay)
		if v.value("a") != "2" || v.value("left") != "" {
			t.Errorf("a is %q, left is %q after the first watch, want 2 and none", v.value("a"), v.value("left"))
		}
		if n := kv.freshLists.Load(); n > 1 {
			t.Errorf("%d listings were not stale, want at most 1", n)
		}
	})
}

// A standby watcher gets changes from the watch leader as well. Guards against a standby that
// calls the store as often as the leader, and one that still calls rarely as a leader.
func TestStandbyWatchesLessOften(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		kv := memkv.New(memkv.Options{WatchWait: time.Second})
		put(t, kv, "a", "0")
		first, second := newTestVM(kv, true, noFetch), newTestVM(kv, true, noFetch)
		second.standby.Store(true)
		go first.Run(ctx)
		go second.Run(ctx)
		callsIn := func(d time.Duration) (int, int) {
			a, b := first.Calls(), second.Calls()
			for range int(d / (100 * time.Millisecond)) {
				time.Sleep(100 * time.Millisecond)
				put(t, kv, "a", fmt.Sprint(time.Now().UnixNano()))
			}
			return int(first.Calls() - a), int(second.Calls() - b)
		}
		if a, b := callsIn(12 * time.Second); 2*b >= a {
			t.Errorf("%d calls of the leader, %d of the standby, want less than half", a, b)
		}
		second.standby.Store(false)
		if a, b := callsIn(12 * time.Second); b < a*9/10 {
			t.Errorf("%d calls of the first VM, %d of the new leader, want nearly as many", a, b)
		}
	})
}

// When the store drops its history, only the watch leader lists it again. Guards against a
// standby that does so as well.
func TestStandbyDoesNotReload(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		v, kv := newStalled(t, ctx, true)
		v.standby.Store(true)
		kv.putWhileStalled(t)
		time.Sleep(2 * stalledWatchWait)
		expectValue(t, v, "1")
		v.standby.Store(false)
		time.Sleep(2 * stalledWatchWait)
		expectValue(t, v, "2")
	})
}
