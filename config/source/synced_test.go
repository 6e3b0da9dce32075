package source

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// A system without accounts must become ready, and what is read in an outage must not be reported as
// fresh.
func TestSourceTellsWhatItRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := faultkv.New(memkv.New(memkv.Options{}), nil)
		s := New(kv, changelog.New(kv, changelog.Options{}), nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		if s.Synced() || !s.LastRead().IsZero() {
			t.Fatal("a source that never ran says it has read")
		}
		ended := make(chan error, 1)
		emit := func(string, uint64, uint64, []byte) { t.Error("an empty store emitted an item") }
		go func() { ended <- s.Run(ctx, emit) }()
		synctest.Wait()
		if !s.Synced() {
			t.Fatal("an empty store was read and is not synced")
		}
		kv.SetOutage(true)
		<-ended
		read := s.LastRead()
		time.Sleep(time.Minute)
		go func() { ended <- s.Run(ctx, emit) }()
		<-ended
		if s.Synced() || s.LastRead() != read {
			t.Fatal("a store that is out counts as read")
		}
	})
}
