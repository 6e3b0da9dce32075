package storetest

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/store"
)

func mustWatch(t *testing.T, kv store.KV, prefix string, after store.Revision) store.Batch {
	t.Helper()
	batch, err := kv.Watch(t.Context(), prefix, after)
	if err != nil {
		t.Fatalf("watch of %s: %v", prefix, err)
	}
	return batch
}

// awaitRemoval watches until the key is deleted.
func awaitRemoval(t *testing.T, kv store.KV, key string, after store.Revision) {
	t.Helper()
	for {
		batch := mustWatch(t, kv, key, after)
		if batch.Reset {
			t.Fatalf("watch of %s after %d was reset", key, after)
		}
		for _, ev := range batch.Events {
			if ev.Deleted && ev.Entry.Key == key {
				return
			}
		}
		after = batch.At
	}
}

func checkWatchOrder(t *testing.T, kv store.KV) {
	first := mustSwap(t, kv, "p/a", "1", 0, 0)
	mustSwap(t, kv, "q/x", "0", 0, 0)
	second := mustSwap(t, kv, "p/a", "2", first, 0)
	if err := kv.Delete(t.Context(), "p/a", second); err != nil {
		t.Fatal(err)
	}
	last := mustSwap(t, kv, "p/b", "3", 0, 0)
	batch := mustWatch(t, kv, "p/", 0)
	var got []string
	for _, ev := range batch.Events {
		got = append(got, fmt.Sprint(ev.Entry.Key, " ", string(ev.Entry.Value), " ", ev.Deleted))
	}
	want := []string{"p/a 1 false", "p/a 2 false", "p/a  true", "p/b 3 false"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if batch.At < last {
		t.Errorf("batch at %d, last write at %d", batch.At, last)
	}
	rest := mustWatch(t, kv, "p/", second)
	if len(rest.Events) != 2 || !rest.Events[0].Deleted {
		t.Errorf("events after %d: %+v, want a deletion and one write", second, rest.Events)
	}
}

func checkWatchWaits(t *testing.T, kv store.KV) {
	first := mustSwap(t, kv, "p/a", "1", 0, 0)
	done := make(chan store.Batch, 1)
	go func() {
		batch, _ := kv.Watch(t.Context(), "p/", first)
		done <- batch
	}()
	mustSwap(t, kv, "q/x", "0", 0, 0)
	second := mustSwap(t, kv, "p/a", "2", first, 0)
	batch := <-done
	if len(batch.Events) != 1 || batch.Events[0].Entry.Revision != second {
		t.Errorf("batch %+v, want the write at %d", batch, second)
	}
}

func checkWatchEmpty(t *testing.T, kv store.KV) {
	mustSwap(t, kv, "p/a", "1", 0, 0)
	last := mustSwap(t, kv, "q/x", "0", 0, 0)
	batch := mustWatch(t, kv, "p/", last)
	if batch.Reset || len(batch.Events) != 0 || batch.At != last {
		t.Errorf("batch %+v, want an empty one at %d", batch, last)
	}
}

func checkWatchReset(t *testing.T, kv store.KV) {
	first := mustSwap(t, kv, "p/a", "0", 0, 0)
	last := first
	for range HistoryEvents + 1 {
		last = mustSwap(t, kv, "p/a", "1", last, 0)
	}
	if batch := mustWatch(t, kv, "p/", first); !batch.Reset {
		t.Error("watch from a revision before the history was not reset")
	}
	if batch := mustWatch(t, kv, "p/", last-1); batch.Reset || len(batch.Events) != 1 {
		t.Errorf("watch from a revision in the history returned %+v", batch)
	}
}

// checkWatchFutureRevision covers a service restored from an older backup: a
// watch from a revision of before the restore must not wait until it is reached
// again, as it would miss the changes up to there.
func checkWatchFutureRevision(t *testing.T, kv store.KV) {
	last := mustSwap(t, kv, "p/a", "1", 0, 0)
	if batch := mustWatch(t, kv, "p/", last+1000); !batch.Reset || batch.At != last {
		t.Errorf("batch %+v, want a reset at %d", batch, last)
	}
}
