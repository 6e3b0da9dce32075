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

func checkLeaseExpires(t *testing.T, kv store.KV) {
	ctx := t.Context()
	id, revision := bindToShortLease(t, kv, "a")
	awaitRemoval(t, kv, "a", revision)
	mustBeError(t, kv.KeepAlive(ctx, id), store.ErrLeaseGone)
	_, err := kv.Swap(ctx, "a", []byte("2"), 0, id)
	mustBeError(t, err, store.ErrLeaseGone)
}

// bindToShortLease doubles the TTL until the key is written before the lease
// expires, which may take several attempts on a busy machine.
func bindToShortLease(t *testing.T, kv store.KV, key string) (store.LeaseID, store.Revision) {
	t.Helper()
	for ttl := leaseTTL; ; ttl *= 2 {
		id := mustGrant(t, kv, ttl)
		revision, err := kv.Swap(t.Context(), key, []byte("1"), 0, id)
		if err == nil {
			return id, revision
		}
		mustBeError(t, err, store.ErrLeaseGone)
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
		mustBeError(t, err, store.ErrNotFound)
	}
	mustBeError(t, kv.Revoke(ctx, id), store.ErrLeaseGone)
	_, err := kv.Swap(ctx, "a", []byte("2"), 0, id)
	mustBeError(t, err, store.ErrLeaseGone)
}

// checkKeyLeavesLease checks that a key is bound to the lease of its last write.
func checkKeyLeavesLease(t *testing.T, kv store.KV) {
	ctx := t.Context()
	id := mustGrant(t, kv, longTTL)
	first := mustSwap(t, kv, "a", "1", 0, id)
	mustSwap(t, kv, "a", "2", first, 0)
	if err := kv.Revoke(ctx, id); err != nil {
		t.Fatal(err)
	}
	if _, err := kv.Get(ctx, "a"); err != nil {
		t.Errorf("key that is no longer bound to the lease: %v", err)
	}
}
