package registry

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

const key = "vm/a"

func newRegistry(t *testing.T, kv store.KV) *Registry {
	t.Helper()
	l := logrus.New()
	l.SetOutput(io.Discard)
	r, err := New(kv, key, site.VM{Name: "a"}, &fakeWatcher{}, logrus.NewEntry(l))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// fakeWatcher counts the calls of CancelWatch.
type fakeWatcher struct {
	watching atomic.Bool
	cancels  atomic.Int32
}

func (w *fakeWatcher) Watching() bool { return w.watching.Load() }
func (w *fakeWatcher) CancelWatch()   { w.cancels.Add(1) }

func registered(kv store.KV) bool {
	_, err := kv.Get(context.Background(), key)
	return err == nil
}

// A VM is registered from its start to its planned stop.
func TestRegisteredWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		ctx, stop := context.WithCancel(context.Background())
		go newRegistry(t, kv).Run(ctx)
		for range 10 {
			time.Sleep(TTL)
			if !registered(kv) {
				t.Fatal("not registered")
			}
		}
		stop()
		synctest.Wait()
		if registered(kv) {
			t.Error("still registered after Run")
		}
	})
}

// A killed VM restarts while its earlier entry still exists.
func TestReplacesEarlierEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		old, err := kv.Grant(context.Background(), TTL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := kv.Swap(context.Background(), key, []byte("old"), 0, old); err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		go newRegistry(t, kv).Run(ctx)
		time.Sleep(2 * TTL)
		if e, err := kv.Get(ctx, key); err != nil || string(e.Value) == "old" {
			t.Errorf("entry is %q, error %v", e.Value, err)
		}
		stop()
		synctest.Wait()
	})
}

// The store loses the entry while renewals of its lease still succeed.
func TestRegistersAgainWhenEntryIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		ctx, stop := context.WithCancel(context.Background())
		r := newRegistry(t, kv)
		go r.Run(ctx)
		time.Sleep(TTL)
		e, err := kv.Get(ctx, key)
		if err != nil {
			t.Fatal(err)
		}
		if err := kv.Delete(ctx, key, e.Revision); err != nil {
			t.Fatal(err)
		}
		r.ReportMissing()
		time.Sleep(2 * renewInterval)
		if !registered(kv) {
			t.Error("entry is still missing")
		}
		stop()
		synctest.Wait()
	})
}

// lostSwapKV executes swaps but reports their outcome as unknown.
type lostSwapKV struct{ store.KV }

func (l lostSwapKV) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if _, err := l.KV.Swap(ctx, key, value, expected, lease); err != nil {
		return 0, err
	}
	return 0, store.ErrUnknown
}

// The answer to a registration is lost, so that the next attempt finds its own entry.
func TestRegistrationAfterLostAnswer(t *testing.T) {
	kv := memkv.New(memkv.Options{})
	r := newRegistry(t, lostSwapKV{kv})
	if err := r.renewOrRegister(context.Background(), false); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("error %v", err)
	}
	r.kv = kv
	if err := r.renewOrRegister(context.Background(), false); err != nil || !registered(kv) {
		t.Fatalf("error %v", err)
	}
}

// Guards against too many calls in an outage, and against a VM that stays unregistered after
// an outage that outlasts its lease.
func TestRetryRateDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := faultkv.New(memkv.New(memkv.Options{}), nil)
		ctx, stop := context.WithCancel(context.Background())
		go newRegistry(t, kv).Run(ctx)
		time.Sleep(TTL)
		before := kv.Counts().Total()
		kv.SetOutage(true)
		time.Sleep(20 * time.Second)
		if n := kv.Counts().Total() - before; n < 9 || n > 12 {
			t.Errorf("%d calls in 20 s, want 9 to 12", n)
		}
		kv.SetOutage(false)
		time.Sleep(2 * retryPause)
		if !registered(kv) {
			t.Error("not registered after the outage")
		}
		stop()
		synctest.Wait()
	})
}

// hangingKV is a store whose renewals can hang until they are canceled.
type hangingKV struct {
	store.KV
	hang atomic.Bool
}

func (s *hangingKV) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if s.hang.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.KV.KeepAlive(ctx, id)
}

// A VM that watches loses the store. Guards against detecting this only when its watch times
// out, as the other VMs of the region rely on it until then.
func TestWatchIsCanceledWhenRenewalTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &hangingKV{KV: memkv.New(memkv.Options{})}
		r := newRegistry(t, kv)
		w := &fakeWatcher{}
		w.watching.Store(true)
		r.watcher = w
		ctx, stop := context.WithCancel(context.Background())
		go r.Run(ctx)
		time.Sleep(10 * time.Second)
		if n := w.cancels.Load(); n != 0 {
			t.Errorf("watch canceled %d times while the store answers, want 0", n)
		}
		kv.hang.Store(true)
		time.Sleep(watchRenewInterval + watchRenewTimeout)
		synctest.Wait()
		if n := w.cancels.Load(); n != 1 {
			t.Errorf("watch canceled %d times after the store hangs, want 1", n)
		}
		stop()
		synctest.Wait()
	})
}

// Guards against a VM whose stop takes another VM out of the directory: a restored store has given the ID
// of its lease out again.
func TestStopDoesNotEndLeaseOfAnotherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		copied := kv.SnapshotWithLeases()
		ctx, stop := context.WithCancel(context.Background())
		r := newRegistry(t, kv)
		go r.Run(ctx)
		synctest.Wait()
		kv.Restore(copied)
		other, err := kv.Grant(ctx, time.Minute)
		if err != nil || other != r.lease {
			t.Fatalf("lease %d, error %v, want %d given out again", other, err, r.lease)
		}
		if _, err := kv.Swap(ctx, "vm/b", nil, 0, other); err != nil {
			t.Fatal(err)
		}
		stop()
		synctest.Wait()
		if _, err := kv.Get(context.Background(), "vm/b"); err != nil {
			t.Errorf("the other VM's registration: %v", err)
		}
	})
}

// A restored store lacks the VM and its lease; the watch may hang since before that.
func TestRegistersAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		copied := kv.SnapshotWithLeases()
		ctx, stop := context.WithCancel(context.Background())
		r := newRegistry(t, kv)
		go r.Run(ctx)
		synctest.Wait()
		kv.Restore(copied)
		time.Sleep(renewInterval)
		synctest.Wait()
		if !registered(kv) || r.watcher.(*fakeWatcher).cancels.Load() == 0 {
			t.Error("not registered, or the watch was not cancelled")
		}
		stop()
		synctest.Wait()
	})
}
