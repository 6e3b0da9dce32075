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

// stallingKV holds back the answers to keep-alives without regard to the
// context, which stops the holder's loop as a pause of its process does.
type stallingKV struct {
	store.KV
	stall time.Duration
}

func (s *stallingKV) KeepAlive(ctx context.Context, id store.LeaseID) error {
	err := s.KV.KeepAlive(ctx, id)
	time.Sleep(s.stall)
	return err
}

// holdStalled returns an election that holds the key since 0 s and waits for
// the answer to its keep-alive of 3 s until 3 s + stall.
func holdStalled(t *testing.T, kv store.KV, stall time.Duration) *lease.Election {
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
	settle(4 * time.Second)
	if _, ok := e.Held(); !ok {
		t.Fatal("does not hold the key")
	}
	return e
}

// Story: the holder's process is paused for three leases. Another node wins
// meanwhile. At its first look after the pause, before its loop has run, the
// first one must find that it holds nothing.
func TestPausedHolderKnowsAtFirstLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		e := holdStalled(t, kv, 3*ttl)
		b := start(t, kv, "b", 1)
		settle(2 * ttl)
		mustHold(t, b)
		if epoch, ok := e.Held(); ok {
			t.Errorf("still holds epoch %d", epoch)
		}
	})
}

// Story: the answer to a keep-alive comes after the holder has seen its lease
// end. The service still has the lease, so the holder could go on; but its
// users have acted on the end, and a term that resumes would surprise them.
func TestTermDoesNotResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := holdStalled(t, memkv.New(memkv.Options{}), 5500*time.Millisecond)
		first, _ := e.Held()
		settle(4300 * time.Millisecond)
		if _, ok := e.Held(); ok {
			t.Fatal("lease trusted at 8.3 s without an answer since 0 s")
		}
		settle(ttl)
		if epoch, ok := e.Held(); ok && epoch == first {
			t.Errorf("epoch %d resumed", epoch)
		}
	})
}

// Story: a node resigns while its loop waits for the service. It must cease
// to act at once, not when the service answers.
func TestResignWhileServiceIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := holdStalled(t, memkv.New(memkv.Options{}), ttl/3)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := e.Resign(ctx); err != context.Canceled {
			t.Errorf("resign did not wait: %v", err)
		}
		if _, ok := e.Held(); ok {
			t.Error("still holds the key after Resign")
		}
	})
}
