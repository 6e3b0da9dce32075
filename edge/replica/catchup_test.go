package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// stalledKV is a store that drops its history: while stalled, watches return no changes and
// end after stalledWatchWait.
type stalledKV struct {
	store.KV
	stalled atomic.Bool
	// failWatches is how many watches fail, after failedWatchDelay.
	failWatches atomic.Int32
	// emptyWatches has watches return the current revision without changes.
	emptyWatches atomic.Bool
}

const (
	stalledWatchWait = 3 * time.Second
	failedWatchDelay = 300 * time.Millisecond
	// preStallWait lets watches end that began before the store stalled.
	preStallWait = 150 * time.Millisecond
)

// Watch implements store.KV.
func (s *stalledKV) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	if !s.stalled.Load() {
		return s.KV.Watch(ctx, prefix, after)
	}
	if s.failWatches.Add(-1) >= 0 {
		time.Sleep(failedWatchDelay)
		return store.Batch{}, store.ErrUnavailable
	}
	select {
	case <-time.After(stalledWatchWait):
	case <-ctx.Done():
		return store.Batch{}, store.ErrUnavailable
	}
	if !s.emptyWatches.Load() {
		return store.Batch{Reset: true}, nil
	}
	list, err := s.List(ctx, prefix)
	return store.Batch{At: list.At}, err
}

// newStalled returns a running VM and its store, which holds value 1 under key a.
func newStalled(t *testing.T, ctx context.Context, watches bool) (*testVM, *stalledKV) {
	kv := &stalledKV{KV: memkv.New(memkv.Options{WatchWait: 100 * time.Millisecond})}
	put(t, kv, "a", "1")
	v := newTestVM(kv, watches, noFetch)
	go v.Run(ctx)
	time.Sleep(2 * firstWatchDelay)
	return v, kv
}

func (s *stalledKV) putWhileStalled(t *testing.T) {
	s.stalled.Store(true)
	time.Sleep(preStallWait)
	put(t, s, "a", "2")
}

func expectValue(t *testing.T, v *testVM, want string) {
	t.Helper()
	if got := v.value("a"); got != want {
		t.Errorf("value of a is %q, want %q", got, want)
	}
}

// While the store drops its history, watches fail or return nothing. Guards against changes
// that are read only after a watch has timed out.
func TestChangeIsReadWhileWatchesStall(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		v, kv := newStalled(t, ctx, true)
		kv.failWatches.Store(1)
		kv.putWhileStalled(t)
		time.Sleep(2 * time.Second)
		expectValue(t, v, "2")
	})
}

// A VM takes over the watch while watches stall.
func TestNewWatcherReadsMissedChanges(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		v, kv := newStalled(t, ctx, false)
		kv.putWhileStalled(t)
		v.watches.Store(true)
		time.Sleep(time.Second)
		expectValue(t, v, "2")
	})
}

// A stalled watch returns no changes at a revision after the change. Watching from there
// would lose the change for good.
func TestEmptyWatchAtNewRevisionIsVerified(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		v, kv := newStalled(t, ctx, true)
		kv.emptyWatches.Store(true)
		kv.putWhileStalled(t)
		time.Sleep(stalledWatchWait + time.Second)
		expectValue(t, v, "2")
	})
}
