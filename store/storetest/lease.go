package storetest

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

func mustGrant(t *testing.T, kv store.KV, ttl time.Duration) store.LeaseID {
	t.Helper()
	id, err := kv.Grant(t.Context(), ttl)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func checkLeaseLapses(t *testing.T, kv store.KV) {
	ctx := t.Context()
	id, revision := bindToShortLease(t, kv, "a")
	awaitRemoval(t, kv, "a", revision)
	mustBe(t, kv.KeepAlive(ctx, id), store.ErrLeaseGone)
	_, err := kv.Swap(ctx, "a", []byte("2"), 0, id)
	mustBe(t, err, store.ErrLeaseGone)
}

// bindToShortLease makes the lease longer until a busy machine can write the
// key before it lapses.
func bindToShortLease(t *testing.T, kv store.KV, key string) (store.LeaseID, store.Revision) {
	t.Helper()
	for ttl := leaseTTL; ; ttl *= 2 {
		id := mustGrant(t, kv, ttl)
		revision, err := kv.Swap(t.Context(), key, []byte("1"), 0, id)
		if err == nil {
			return id, revision
		}
		mustBe(t, err, store.ErrLeaseGone)
	}
}

func checkLeaseRevoked(t *testing.T, kv store.KV) {
	ctx := t.Context()
	id := mustGrant(t, kv, longTTL)
	mustSwap(t, kv, "a", "1", 0, id)
	mustSwap(t, kv, "b", "1", 0, id)
	if err := kv.KeepAlive(ctx, id); err != nil {
		t.Fatal(err)
	}
	if err := kv.Revoke(ctx, id); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"a", "b"} {
		_, err := kv.Get(ctx, key)
		mustBe(t, err, store.ErrNotFound)
	}
	mustBe(t, kv.Revoke(ctx, id), store.ErrLeaseGone)
	_, err := kv.Swap(ctx, "a", []byte("2"), 0, id)
	mustBe(t, err, store.ErrLeaseGone)
}

// checkLeaseLeft checks that the last write decides which lease a key hangs
// on.
func checkLeaseLeft(t *testing.T, kv store.KV) {
	ctx := t.Context()
	id := mustGrant(t, kv, longTTL)
	first := mustSwap(t, kv, "a", "1", 0, id)
	mustSwap(t, kv, "a", "2", first, 0)
	if err := kv.Revoke(ctx, id); err != nil {
		t.Fatal(err)
	}
	if _, err := kv.Get(ctx, "a"); err != nil {
		t.Errorf("key that left its lease: %v", err)
	}
}
