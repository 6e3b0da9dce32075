package source_test

import (
	"context"
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
		got := newSink(t)
		src := source.New(kv, changelog.New(kv, changelog.Options{}), nil)
		done := make(chan struct{})
		go func() { defer close(done); _ = src.Run(ctx, got.emit) }()
		synctest.Wait()
		account, err := config.Decode([]byte(got.lastAccount().body))
		if err != nil || account.Revision != 2 || account.Name != "daehan" {
			t.Fatalf("got %+v, %v", account, err)
		}

		apply(change("edit-template", changelog.KindTemplate, "dealer", append(examples.Text("dealer"), '\n')))
		if got.lastAccount().version.Sequence != 3 {
			t.Errorf("template change not emitted: %d", got.lastAccount().version.Sequence)
		}
		before := kv.Counts()
		time.Sleep(time.Hour)
		if calls := kv.Counts().Sub(before).Total(); calls > 121 {
			t.Errorf("an idle hour took %d calls", calls)
		}
		gone := change("delete-account", changelog.KindAccount, "daehan", nil)
		gone.Delete = true
		apply(gone)
		if last := got.lastAccount(); last.version.Sequence != 4 || !last.deleted {
			t.Errorf("deletion not emitted: %+v", last)
		}
		cancel()
		<-done
	})
}
