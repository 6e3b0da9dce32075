package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// deafKV is a store that is about to drop its history: while deaf, watches bring nothing,
// and end after their wait.
type deafKV struct {
	store.KV
	deaf atomic.Bool
	// cut is how many watches end with an error, after cutAfter.
	cut atomic.Int32
	// empty tells that a watch ends as if nothing had changed since the revision it tells.
	empty atomic.Bool
}

const (
	deafWait = 3 * time.Second
	cutAfter = 300 * time.Millisecond
	// served is longer than watches wait that began before the store was deaf.
	served = 150 * time.Millisecond
)

// Watch implements store.KV.
func (d *deafKV) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	if !d.deaf.Load() {
		return d.KV.Watch(ctx, prefix, after)
	}
	if d.cut.Add(-1) >= 0 {
		time.Sleep(cutAfter)
		return store.Batch{}, store.ErrUnavailable
	}
	select {
	case <-time.After(deafWait):
	case <-ctx.Done():
		return store.Batch{}, store.ErrUnavailable
	}
	if !d.empty.Load() {
		return store.Batch{Reset: true}, nil
	}
	list, err := d.List(ctx, prefix)
	return store.Batch{At: list.At}, err
}

// The store drops its history. For a second its watches bring nothing, then they are cut,
// and the next ones, which begin before it has forgotten, wait in vain until their time
// ends: the new configuration was in force 4.2 s after it was acknowledged (vliesbuch,
// scale-1 with seed 15; 2 s are allowed). The store's revision tells at once.
func TestChangeIsReadThoughWatchesAreDeaf(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		kv := &deafKV{KV: memkv.New(memkv.Options{WatchWait: 100 * time.Millisecond})}
		put(t, kv, "a", "1")
		v := newVM(kv, true, noFetch)
		go v.Run(ctx)
		time.Sleep(2 * settle)
		kv.cut.Store(1)
		kv.deaf.Store(true)
		time.Sleep(served)
		put(t, kv, "a", "2")
		time.Sleep(2 * time.Second)
		if got := v.value("a"); got != "2" {
			t.Errorf("has %q 2 s after the change", got)
		}
	})
}

// A VM begins to watch, as the one before was not answered, while watches are deaf.
func TestANewWatcherReadsWhatItMissed(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		kv := &deafKV{KV: memkv.New(memkv.Options{WatchWait: 100 * time.Millisecond})}
		put(t, kv, "a", "1")
		v := newVM(kv, false, noFetch)
		go v.Run(ctx)
		time.Sleep(time.Second)
		kv.deaf.Store(true)
		put(t, kv, "a", "2")
		v.watches.Store(true)
		time.Sleep(time.Second)
		if got := v.value("a"); got != "2" {
			t.Errorf("has %q a second after it began to watch", got)
		}
	})
}

// A deaf watch ends as if nothing had changed, at a revision that is after the change. To
// go on from there would lose the change for good.
func TestAnEmptyAnswerAtANewRevisionIsDoubted(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		kv := &deafKV{KV: memkv.New(memkv.Options{WatchWait: 100 * time.Millisecond})}
		put(t, kv, "a", "1")
		v := newVM(kv, true, noFetch)
		go v.Run(ctx)
		time.Sleep(2 * settle)
		kv.empty.Store(true)
		kv.deaf.Store(true)
		time.Sleep(served)
		put(t, kv, "a", "2")
		time.Sleep(deafWait + time.Second)
		if got := v.value("a"); got != "2" {
			t.Errorf("has %q after the watch ended", got)
		}
	})
}
