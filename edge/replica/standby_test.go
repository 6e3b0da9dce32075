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

// staleKV answers listings that may be stale with the first one that it gave, and counts
// the others.
type staleKV struct {
	store.KV
	old   store.Listing
	fresh atomic.Int32
}

// List implements store.KV.
func (s *staleKV) List(ctx context.Context, prefix string) (store.Listing, error) {
	if store.IsStaleAllowed(ctx) {
		return s.old, nil
	}
	s.fresh.Add(1)
	return s.KV.List(ctx, prefix)
}

// All VMs restart at once, and each reads the whole store: hundreds of calls. The first
// reading may be stale, which costs a tenth. The target that left meanwhile must be gone
// as soon as the watch of this VM is answered.
func TestStaleFirstCopyCatchesUp(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
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
		v := newVM(kv, true, noFetch)
		go v.Run(ctx)
		time.Sleep(2 * settle)
		if v.value("a") != "2" || v.value("left") != "" {
			t.Errorf("a %q, left %q after the first watch", v.value("a"), v.value("left"))
		}
		if n := kv.fresh.Load(); n > 1 {
			t.Errorf("%d listings at the full price", n)
		}
	})
}

// Two VMs of a region watch the store while targets change all the time. The second one
// made as many calls as the first though it had the changes from there; now it makes a
// third of them, and as many as a first one when it is the first.
func TestStandbyWatchesLessOften(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		kv := memkv.New(memkv.Options{WatchWait: time.Second})
		put(t, kv, "a", "0")
		first, second := newVM(kv, true, noFetch), newVM(kv, true, noFetch)
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
			t.Errorf("%d calls of the first, %d of the second", a, b)
		}
		second.standby.Store(false)
		if a, b := callsIn(12 * time.Second); b < a*9/10 {
			t.Errorf("%d calls of the first, %d of the one that is first now", a, b)
		}
	})
}

// The store drops its history again and again. The VM that watches behind a first one read
// the whole store each time, as the first one did; it copies from the first one.
func TestStandbyDoesNotReadAll(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		v, kv := newDeaf(t, ctx, true)
		v.standby.Store(true)
		kv.change(t)
		time.Sleep(2 * deafWait)
		mustHave(t, v, "1")
		v.standby.Store(false)
		time.Sleep(2 * deafWait)
		mustHave(t, v, "2")
	})
}
