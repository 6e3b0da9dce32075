package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/lease"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// stallingKV delays the responses to keep-alives regardless of the context,
// which blocks the holder's loop as a pause of its process does.
type stallingKV struct {
	store.KV
	stall time.Duration
}

func (s *stallingKV) KeepAlive(ctx context.Context, id store.LeaseID) error {
	err := s.KV.KeepAlive(ctx, id)
	time.Sleep(s.stall)
	return err
}

// startStalledHolder returns an election that holds the key since 0 s and whose
// keep-alive, sent at 3 s, is answered at 3 s + stall.
func startStalledHolder(t *testing.T, kv store.KV, stall time.Duration) *lease.Election {
	t.Helper()
	e, err := lease.New(lease.Options{KV: &stallingKV{KV: kv, stall: stall}, Key: key, TTL: ttl})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	advance(4 * time.Second)
	if _, ok := e.Held(); !ok {
		t.Fatal("does not hold the key")
	}
	return e
}

// A holder paused for longer than its lease must see that the term ended at its
// first call to Held, before its loop has run.
func TestHeldIsFalseAfterProcessPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		e := startStalledHolder(t, kv, 3*ttl)
		b := start(t, kv, "b", 1)
		advance(2 * ttl)
		requireHeld(t, b)
		if epoch, ok := e.Held(); ok {
			t.Errorf("still holds epoch %d", epoch)
		}
	})
}

// A keep-alive answered after the holder's validity ended must not resume the
// term, even though the lease still exists at the service.
func TestTermDoesNotResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startStalledHolder(t, memkv.New(memkv.Options{}), 5500*time.Millisecond)
		first, _ := e.Held()
		advance(4300 * time.Millisecond)
		if _, ok := e.Held(); ok {
			t.Fatal("key reported as held at 8.3 s, last extended by a call sent at 0 s")
		}
		advance(ttl)
		if epoch, ok := e.Held(); ok && epoch == first {
			t.Errorf("epoch %d resumed", epoch)
		}
	})
}

// Resign must end the term while a call to the service is still pending.
func TestResignEndsTermWithoutServiceResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startStalledHolder(t, memkv.New(memkv.Options{}), ttl/3)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := e.Resign(ctx); err != context.Canceled {
			t.Errorf("Resign returned %v, want context.Canceled", err)
		}
		if _, ok := e.Held(); ok {
			t.Error("still holds the key after Resign")
		}
	})
}
