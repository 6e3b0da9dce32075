package changelog_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// filled returns a store in which one template has many accounts, written the
// short way.
func filled(tb testing.TB, accounts int) store.KV {
	tb.Helper()
	kv := memkv.New(memkv.Options{})
	put := func(key string, value []byte) {
		if _, err := kv.Swap(tb.Context(), key, value, 0, 0); err != nil {
			tb.Fatal(err)
		}
	}
	object := func(text []byte) changelog.Object {
		put("config/object/"+changelog.Hash(text), text)
		return changelog.Object{Hash: changelog.Hash(text), Sequence: 1}
	}
	head := changelog.Head{Version: changelog.Version{Epoch: 1, Sequence: 1}, Audited: 1, Accounts: map[string]changelog.Object{}}
	head.Template = object(examples.Text("dealer"))
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		head.Accounts[name] = object(accountText("seed", name, false))
	}
	value, err := json.Marshal(&head)
	if err != nil {
		tb.Fatal(err)
	}
	put("config/head/dealer", value)
	return kv
}

// A change must cost the store no more than five calls: head, identifier, document, audit record
// and swap of the head.
func TestCallsPerChange(t *testing.T) {
	kv := faultkv.New(filled(t, 100), nil)
	log := changelog.New(kv, changelog.Options{})
	change := func(i int) changelog.Change {
		c := accountChange(fmt.Sprintf("change-%04d", i), nil, changelog.AnySequence)
		c.Name = fmt.Sprintf("account-%05d", i%100)
		c.Text = accountText(c.ID, c.Name, false)
		return c
	}
	const warmUp, counted = 40, 100
	for i := range warmUp {
		mustApply(t, log, change(i))
	}
	before := kv.Counts()
	for i := range counted {
		mustApply(t, log, change(warmUp+i))
	}
	calls := kv.Counts().Sub(before)
	t.Logf("%d changes: %d reads, %d writes", counted, calls.Of(faultkv.KindGet), calls.Of(faultkv.KindSwap))
	if calls.Of(faultkv.KindGet) > 2*counted || calls.Of(faultkv.KindSwap) > 3*counted {
		t.Errorf("too many calls: %+v", calls)
	}
}

// TestHeadBytesPerAccount bounds the head's growth: it decides how many
// accounts one template can have.
func TestHeadBytesPerAccount(t *testing.T) {
	size := func(accounts int) int {
		entry, err := filled(t, accounts).Get(t.Context(), "config/head/dealer")
		if err != nil {
			t.Fatal(err)
		}
		return len(entry.Value)
	}
	perAccount := float64(size(2000)-size(1000)) / 1000
	t.Logf("%.1f bytes an account, %.0f accounts a template", perAccount, changelog.MaxHeadBytes/perAccount)
	if perAccount > 80 {
		t.Errorf("%.1f bytes an account", perAccount)
	}
}

// BenchmarkApply measures changes of accounts by operators at nodes of their
// own, with a store that answers in a millisecond.
func BenchmarkApply(b *testing.B) {
	for _, together := range []int{1, 16} {
		b.Run(fmt.Sprintf("operators=%d", together), func(b *testing.B) {
			inner := filled(b, 100)
			counter := faultkv.New(inner, func(faultkv.Call) faultkv.Decision {
				return faultkv.Decision{DelayBefore: time.Millisecond}
			})
			var next atomic.Int64
			var running sync.WaitGroup
			for n := range together {
				log := changelog.New(counter, changelog.Options{Seed: uint64(n)})
				running.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						c := accountChange(fmt.Sprintf("change-%08d", i), nil, changelog.AnySequence)
						c.Name = fmt.Sprintf("account-%05d", i%100)
						c.Text = accountText(c.ID, c.Name, false)
						if _, err := log.Apply(context.Background(), c); err != nil {
							b.Error(err)
						}
					}
				})
			}
			running.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
			b.ReportMetric(float64(counter.Counts().Total())/float64(b.N), "calls/change")
		})
	}
}

// BenchmarkTemplateChange measures a change that all accounts must be checked
// with, and BenchmarkAccountChange one that only its own must.
func BenchmarkTemplateChange(b *testing.B) { benchmarkSizes(b, changelog.KindTemplate) }

// BenchmarkAccountChange is described at BenchmarkTemplateChange.
func BenchmarkAccountChange(b *testing.B) { benchmarkSizes(b, changelog.KindAccount) }

func benchmarkSizes(b *testing.B, kind changelog.Kind) {
	for _, accounts := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			log := changelog.New(filled(b, accounts), changelog.Options{CacheBytes: 64 << 20})
			for i := 0; b.Loop(); i++ {
				c := templateChange(fmt.Sprintf("change-%08d", i), nil, changelog.AnySequence)
				c.Text = templateText(c.ID, false)
				if kind == changelog.KindAccount {
					c.Kind, c.Name = kind, "account-00001"
					c.Text = accountText(c.ID, c.Name, false)
				}
				if _, err := log.Apply(context.Background(), c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
