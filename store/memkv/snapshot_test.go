package memkv_test

import (
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// A watch pending during a restore from an older backup must be reset: it waits
// for revisions above the restored one and would miss the writes up to there.
func TestRestoreResetsWaitingWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		first, err := kv.Swap(t.Context(), "a", []byte("1"), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		backup := kv.Snapshot()
		second, err := kv.Swap(t.Context(), "a", []byte("2"), first, 0)
		if err != nil {
			t.Fatal(err)
		}
		result := make(chan store.Batch, 1)
		go func() {
			batch, _ := kv.Watch(t.Context(), "a", second)
			result <- batch
		}()
		synctest.Wait()
		kv.Restore(backup)
		restored := store.NewRevision(1, first.Number())
		if batch := <-result; !batch.Reset || batch.At != restored {
			t.Errorf("batch %+v, want a reset at %d", batch, restored)
		}
		entry, err := kv.Get(t.Context(), "a")
		if err != nil || string(entry.Value) != "1" {
			t.Errorf("after the restore: %+v, %v", entry, err)
		}
		var conflict *store.ConflictError
		_, err = kv.Swap(t.Context(), "a", []byte("3"), second, 0)
		if !errors.As(err, &conflict) || conflict.Current != restored {
			t.Errorf("write at a revision newer than the backup: %v", err)
		}
	})
}
