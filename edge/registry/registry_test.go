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
	r, err := New(kv, key, site.VM{Name: "a"}, &duty{}, logrus.NewEntry(l))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// duty is a VM that watches, or not, and counts what it was told.
type duty struct {
	watching   atomic.Bool
	unanswered atomic.Int32
}

func (d *duty) Watching() bool { return d.watching.Load() }
func (d *duty) CancelWatch()   { d.unanswered.Add(1) }

func listed(kv store.KV) bool {
	_, err := kv.Get(context.Background(), key)
	return err == nil
}

// A VM is listed from its start to its planned stop, and for no longer than the lease
// after it has vanished.
func TestListedWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		ctx, stop := context.WithCancel(context.Background())
		go newRegistry(t, kv).Run(ctx)
		for range 10 {
			time.Sleep(TTL)
			if !listed(kv) {
				t.Fatal("not listed")
			}
		}
		stop()
		synctest.Wait()
		if listed(kv) {
			t.Error("listed after its end")
		}
	})
}

// The VM was killed and starts anew while its last entry is still there.
func TestReplacesItsLastEntry(t *testing.T) {
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
			t.Errorf("%q, %v", e.Value, err)
		}
		stop()
		synctest.Wait()
	})
}

// The store drops the entry and goes on renewing the lease, so that no call shows it.
func TestRegistersAnewWhenItsEntryIsMissing(t *testing.T) {
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
		time.Sleep(2 * renewEvery)
		if !listed(kv) {
			t.Error("still missing")
		}
		stop()
		synctest.Wait()
	})
}

// lost answers no write, though it does them.
type lost struct{ store.KV }

func (l lost) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if _, err := l.KV.Swap(ctx, key, value, expected, lease); err != nil {
		return 0, err
	}
	return 0, store.ErrUnknown
}

// The answer to the registration is lost. The next try meets its own entry.
func TestLostAnswerOfTheRegistration(t *testing.T) {
	kv := memkv.New(memkv.Options{})
	r := newRegistry(t, lost{kv})
	if err := r.keep(context.Background(), false); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("error %v", err)
	}
	r.kv = kv
	if err := r.keep(context.Background(), false); err != nil || !listed(kv) {
		t.Fatalf("error %v", err)
	}
}

// The store is away for longer than the lease lasts. The VM tries often enough to keep its
// lease over a short outage, and no more: each call has a price. It is listed again soon.
func TestFewCallsWhileTheStoreIsAway(t *testing.T) {
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
		time.Sleep(2 * retryLast)
		if !listed(kv) {
			t.Error("not listed after the outage")
		}
		stop()
		synctest.Wait()
	})
}

// silent is a store that stops to answer.
type silent struct {
	store.KV
	cut atomic.Bool
}

func (s *silent) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if s.cut.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.KV.KeepAlive(ctx, id)
}

// The only watching VM of a region is cut off from the store. The others went on sending to
// targets that left for more than three seconds, until its watch ended. Now it learns from
// its renewals, in time for the others to take over.
func TestWatchingVMLearnsSoonThatItIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &silent{KV: memkv.New(memkv.Options{})}
		r := newRegistry(t, kv)
		d := &duty{}
		d.watching.Store(true)
		r.duty = d
		ctx, stop := context.WithCancel(context.Background())
		go r.Run(ctx)
		time.Sleep(10 * time.Second)
		if n := d.unanswered.Load(); n != 0 {
			t.Errorf("told %d times while the store answers", n)
		}
		kv.cut.Store(true)
		time.Sleep(watchRenewEvery + watchRenewTime)
		synctest.Wait()
		if n := d.unanswered.Load(); n != 1 {
			t.Errorf("told %d times after the cut", n)
		}
		stop()
		synctest.Wait()
	})
}
