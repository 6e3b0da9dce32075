package source_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

const restoreAccounts = 4

// After a restore of the store from an older copy no node may take the older state or change it, and
// the store must hold again what was accepted.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &replaceable{kv: memkv.New(memkv.Options{})}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var sinks []*sink
		for n := range 3 {
			flaky := faultkv.New(kv, faultkv.Random(uint64(n), faultkv.Rates{Refuse: 0.1}))
			got := newSink(t)
			sinks = append(sinks, got)
			src := source.New(flaky, changelog.New(flaky, changelog.Options{}), quiet())
			running.Go(func() { follow(ctx, src, got.emit) })
		}
		operator := changelog.New(kv, changelog.Options{})
		apply(t, operator, change("add-template", changelog.KindTemplate, "dealer", examples.Text("dealer")))
		makeChanges(t, operator, 1, 10)
		copied := copyOf(t, kv)
		makeChanges(t, operator, 11, 20)
		time.Sleep(time.Minute)
		accepted := sinks[0].items()

		kv.replace(copied)
		started := changelog.New(kv, changelog.Options{})
		for key, it := range accepted {
			if strings.HasPrefix(key, source.HeadKeyPrefix) {
				source.Learn(started.Guard(), key, it.version.Epoch, it.version.Sequence, []byte(it.body))
			}
		}
		var back *changelog.WentBackError
		_, err := started.Apply(t.Context(), numbered(21))
		if !errors.As(err, &back) {
			t.Errorf("a node that has just started changed the older state: %v", err)
		}
		time.Sleep(5 * time.Minute)
		for n, got := range sinks {
			if diff := cmp.Diff(bodies(accepted), bodies(got.items())); diff != "" {
				t.Errorf("node %d reverted or lost something:\n%s", n, diff)
			}
		}
		makeChanges(t, started, 22, 30)
		time.Sleep(time.Minute)
		final := sinks[0].items()
		if cmp.Equal(bodies(accepted), bodies(final)) {
			t.Error("no change after the restore came into force")
		}
		for n, got := range sinks {
			if !cmp.Equal(final, got.items(), cmp.AllowUnexported(item{})) {
				t.Errorf("node %d does not have what node 0 has", n)
			}
		}
		cancel()
		running.Wait()
	})
}

func quiet() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func apply(t *testing.T, log *changelog.Log, c changelog.Change) {
	t.Helper()
	if _, err := log.Apply(t.Context(), c); err != nil {
		t.Fatal(err)
	}
}

// numbered is a change whose number can be read off the account in force.
func numbered(n int) changelog.Change {
	name := fmt.Sprintf("acc-%d", n%restoreAccounts)
	text := strings.Replace(string(examples.Text("daehan")), "name = daehan", "name = "+name, 1)
	text += fmt.Sprintf("\n[service dealer-desk]\nmax_request_bytes = %d\n", 1000+n)
	return change(fmt.Sprintf("change-%04d", n), changelog.KindAccount, name, []byte(text))
}

func makeChanges(t *testing.T, log *changelog.Log, from, to int) {
	t.Helper()
	for n := from; n <= to; n++ {
		apply(t, log, numbered(n))
		time.Sleep(time.Second)
	}
}

func copyOf(t *testing.T, kv store.KV) store.KV {
	t.Helper()
	listing, err := kv.List(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	out := memkv.New(memkv.Options{})
	for _, entry := range listing.Entries {
		if _, err := out.Swap(t.Context(), entry.Key, entry.Value, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// bodies returns the number of the change in force for each account.
func bodies(items map[string]item) map[string]int64 {
	out := map[string]int64{}
	for key, it := range items {
		if !strings.HasPrefix(key, source.KeyPrefix) {
			continue
		}
		account, err := config.Decode([]byte(it.body))
		if err != nil {
			panic(err)
		}
		out[key] = account.Service("dealer-desk").MaxRequestBytes
	}
	return out
}
