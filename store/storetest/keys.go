package storetest

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

func mustSwap(t *testing.T, kv store.KV, key, value string, expected store.Revision, lease store.LeaseID) store.Revision {
	t.Helper()
	revision, err := kv.Swap(t.Context(), key, []byte(value), expected, lease)
	if err != nil {
		t.Fatalf("swap of %s: %v", key, err)
	}
	return revision
}

func mustConflict(t *testing.T, err error, current store.Revision) {
	t.Helper()
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if conflict.Current != current {
		t.Errorf("current revision in the conflict is %d, want %d", conflict.Current, current)
	}
}

func mustBeError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
}

func checkSwap(t *testing.T, kv store.KV) {
	ctx := t.Context()
	_, err := kv.Get(ctx, "a")
	mustBeError(t, err, store.ErrNotFound)
	_, err = kv.Swap(ctx, "a", []byte("x"), 7, 0)
	mustConflict(t, err, 0)
	first := mustSwap(t, kv, "a", "1", 0, 0)
	_, err = kv.Swap(ctx, "a", []byte("x"), 0, 0)
	mustConflict(t, err, first)
	other := mustSwap(t, kv, "b", "2", 0, 0)
	second := mustSwap(t, kv, "a", "3", first, 0)
	if !(first < other && other < second) {
		t.Errorf("revisions %d, %d, %d do not increase", first, other, second)
	}
	entry, err := kv.Get(ctx, "a")
	if err != nil {
		t.Fatal(err)
	}
	want := store.Entry{Key: "a", Value: []byte("3"), Revision: second}
	if diff := cmp.Diff(want, entry); diff != "" {
		t.Errorf("entry (-want +got):\n%s", diff)
	}
}

func checkDelete(t *testing.T, kv store.KV) {
	ctx := t.Context()
	first := mustSwap(t, kv, "a", "1", 0, 0)
	mustConflict(t, kv.Delete(ctx, "a", first+1), first)
	if err := kv.Delete(ctx, "a", first); err != nil {
		t.Fatal(err)
	}
	mustConflict(t, kv.Delete(ctx, "a", first), 0)
	again := mustSwap(t, kv, "a", "2", 0, 0)
	if again <= first+1 {
		t.Errorf("revision after the delete is %d, want more than %d", again, first+1)
	}
}

func checkSize(t *testing.T, kv store.KV) {
	ctx := t.Context()
	largest := strings.Repeat("x", store.MaxValueBytes)
	mustSwap(t, kv, "a", largest, 0, 0)
	_, err := kv.Swap(ctx, "b", []byte(largest+"x"), 0, 0)
	mustBeError(t, err, store.ErrTooLarge)
	entry, err := kv.Get(ctx, "a")
	if err != nil || string(entry.Value) != largest {
		t.Errorf("value of the maximum size was read back with %d bytes: %v", len(entry.Value), err)
	}
}

func checkList(t *testing.T, kv store.KV) {
	mustSwap(t, kv, "p/b", "2", 0, 0)
	mustSwap(t, kv, "q/x", "0", 0, 0)
	last := mustSwap(t, kv, "p/a", "1", 0, 0)
	listing, err := kv.List(t.Context(), "p/")
	if err != nil {
		t.Fatal(err)
	}
	if listing.At < last {
		t.Errorf("listing at %d, last write at %d", listing.At, last)
	}
	var keys []string
	for _, entry := range listing.Entries {
		keys = append(keys, entry.Key+"="+string(entry.Value))
	}
	if diff := cmp.Diff([]string{"p/a=1", "p/b=2"}, keys); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
}
