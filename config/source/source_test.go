package source_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

type item struct {
	key      string
	sequence uint64
	body     []byte
}

type sink struct {
	mu    sync.Mutex
	items []item
}

func (s *sink) emit(key string, _, sequence uint64, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, item{key, sequence, body})
}

func (s *sink) last() item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[len(s.items)-1]
}

func change(id string, kind changelog.Kind, name string, text []byte) changelog.Change {
	return changelog.Change{ID: id, Who: "ana", Template: "dealer", Kind: kind, Name: name, Text: text, IfSequence: changelog.AnySequence}
}

// TestEmitsChanges follows an account from its creation over a change of its
// template to its deletion, and counts the calls of an idle hour.
func TestEmitsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := faultkv.New(memkv.New(memkv.Options{}), nil)
		writer := changelog.New(kv, changelog.Options{})
		apply := func(c changelog.Change) {
			t.Helper()
			if _, err := writer.Apply(t.Context(), c); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		apply(change("add-template", changelog.KindTemplate, "dealer", examples.Text("dealer")))
		apply(change("add-account", changelog.KindAccount, "daehan", examples.Text("daehan")))

		ctx, cancel := context.WithCancel(t.Context())
		got := &sink{}
		src := source.New(kv, changelog.New(kv, changelog.Options{}), nil)
		done := make(chan struct{})
		go func() { defer close(done); _ = src.Run(ctx, got.emit) }()
		synctest.Wait()
		account, err := config.Decode(got.last().body)
		if err != nil || account.Revision != 2 || account.Name != "daehan" {
			t.Fatalf("got %+v, %v", account, err)
		}

		apply(change("edit-template", changelog.KindTemplate, "dealer", append(examples.Text("dealer"), '\n')))
		if got.last().sequence != 3 {
			t.Errorf("template change not emitted: %d", got.last().sequence)
		}
		before := kv.Counts()
		time.Sleep(time.Hour)
		if calls := kv.Counts().Sub(before).Total(); calls > 121 {
			t.Errorf("an idle hour took %d calls", calls)
		}
		gone := change("delete-account", changelog.KindAccount, "daehan", nil)
		gone.Delete = true
		apply(gone)
		if last := got.last(); last.sequence != 4 || last.body != nil {
			t.Errorf("deletion not emitted: %+v", last)
		}
		cancel()
		<-done
	})
}
