package item

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Relays, repairs and sources deliver the states of a key in any order, and
// more than once. Whatever the order, no key may go back to an older version,
// and two nodes that saw the same states must end with the same items.
func TestAnyOrderOfDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := rapid.Custom(func(t *rapid.T) Item {
			body := rapid.SampledFrom([][]byte{nil, {}, []byte("a"), []byte("b")}).Draw(t, "body")
			return New(
				fmt.Sprintf("key%d", rapid.IntRange(0, 3).Draw(t, "key")),
				rapid.Uint64Range(0, 2).Draw(t, "epoch"),
				rapid.Uint64Range(0, 3).Draw(t, "sequence"),
				body,
			)
		})
		states := rapid.SliceOfN(state, 0, 40).Draw(t, "states")
		one, other := NewTable(), NewTable()
		for _, it := range states {
			before, had := one.Snapshot().Get(it.Key)
			outcome := one.Apply(it)
			after, _ := one.Snapshot().Get(it.Key)
			if had && before.NewerThan(after) {
				t.Fatalf("%v went back to %v", before, after)
			}
			if (outcome == Applied) != (after.Sum == it.Sum && (!had || before.Sum != it.Sum)) {
				t.Fatalf("outcome %v for %v after %v", outcome, it, before)
			}
		}
		for _, it := range rapid.Permutation(states).Draw(t, "permuted") {
			other.Apply(it)
		}
		same(t, one.Snapshot(), other.Snapshot())
	})
}

func same(t *rapid.T, a, b *Snapshot) {
	if a.Digest() != b.Digest() || a.Len() != b.Len() {
		t.Fatalf("digests %x and %x over %d and %d items", a.Digest(), b.Digest(), a.Len(), b.Len())
	}
	var sum uint64
	for i := range Buckets {
		if a.BucketDigest(i) != b.BucketDigest(i) {
			t.Fatalf("bucket %d differs", i)
		}
		sum += a.BucketDigest(i)
	}
	if sum != a.Digest() {
		t.Fatalf("buckets add up to %x, not %x", sum, a.Digest())
	}
	for _, it := range a.Prefix("") {
		if got, _ := b.Get(it.Key); got.Sum != it.Sum {
			t.Fatalf("%s differs", it.Key)
		}
	}
}

// A reader holds a snapshot while a change arrives; it must not see it move.
func TestSnapshotStaysAsItWas(t *testing.T) {
	table := NewTable()
	table.Apply(New("a", 1, 1, []byte("one")))
	old := table.Snapshot()
	table.Apply(New("a", 1, 2, []byte("two")))
	table.Apply(New("b", 1, 1, []byte("b")))
	if it, _ := old.Get("a"); string(it.Body) != "one" || old.Len() != 1 {
		t.Fatalf("old snapshot has %q and %d items", it.Body, old.Len())
	}
}

// The key is deleted, and a relay that lags brings the state before. Without a
// tombstone the account would be in force again.
func TestDeletedStaysDeleted(t *testing.T) {
	table := NewTable()
	table.Apply(New("a", 1, 2, nil))
	if got := table.Apply(New("a", 1, 1, []byte("old"))); got != Stale {
		t.Fatalf("older state after a deletion: outcome %d", got)
	}
	if it, _ := table.Snapshot().Get("a"); !it.Deleted {
		t.Fatal("deleted key came back")
	}
}

func BenchmarkApply(b *testing.B) {
	for _, keys := range []int{500, 5000} {
		b.Run(fmt.Sprintf("items=%d", keys), func(b *testing.B) { benchmarkApply(b, keys) })
	}
}

func benchmarkApply(b *testing.B, keys int) {
	table := NewTable()
	names := make([]string, keys)
	for i := range names {
		names[i] = fmt.Sprintf("account/customer-%d", i)
		table.Apply(New(names[i], 1, 0, []byte("body")))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Apply(New(names[i%keys], 1, uint64(i+1), []byte("body")))
	}
}

func BenchmarkGet(b *testing.B) {
	table := NewTable()
	table.Apply(New("account/daehan", 1, 1, []byte("body")))
	b.ReportAllocs()
	for b.Loop() {
		table.Snapshot().Get("account/daehan")
	}
}
