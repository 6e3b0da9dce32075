package replica

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

// newDeaf is a VM beside a store that has the value 1 of key a.
func newDeaf(t *testing.T, ctx context.Context, watches bool) (*vm, *deafKV) {
	kv := &deafKV{KV: memkv.New(memkv.Options{WatchWait: 100 * time.Millisecond})}
	put(t, kv, "a", "1")
	v := newVM(kv, watches, noFetch)
	go v.Run(ctx)
	time.Sleep(2 * settle)
	return v, kv
}

// change makes the store deaf and then changes the key.
func (d *deafKV) change(t *testing.T) {
	d.deaf.Store(true)
	time.Sleep(served)
	put(t, d, "a", "2")
}

func mustHave(t *testing.T, v *vm, want string) {
	t.Helper()
	if got := v.value("a"); got != want {
		t.Errorf("has %q, want %q", got, want)
	}
}

// The store drops its history. For a second its watches bring nothing, then they are cut,
// and the next ones, which begin before it has forgotten, wait in vain until their time
// ends: the new configuration was in force 4.2 s after it was acknowledged (vliesbuch,
// scale-1 with seed 15; 2 s are allowed). The store's revision tells at once.
func TestChangeIsReadThoughWatchesAreDeaf(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		v, kv := newDeaf(t, ctx, true)
		kv.cut.Store(1)
		kv.change(t)
		time.Sleep(2 * time.Second)
		mustHave(t, v, "2")
	})
}

// A VM begins to watch, as the one before was not answered, while watches are deaf.
func TestANewWatcherReadsWhatItMissed(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		v, kv := newDeaf(t, ctx, false)
		kv.change(t)
		v.watches.Store(true)
		time.Sleep(time.Second)
		mustHave(t, v, "2")
	})
}

// A deaf watch ends as if nothing had changed, at a revision that is after the change. To
// go on from there would lose the change for good.
func TestAnEmptyAnswerAtANewRevisionIsDoubted(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		v, kv := newDeaf(t, ctx, true)
		kv.empty.Store(true)
		kv.change(t)
		time.Sleep(deafWait + time.Second)
		mustHave(t, v, "2")
	})
}
