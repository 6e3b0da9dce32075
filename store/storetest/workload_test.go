package storetest_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
	"github.com/yuccaroute/yuccaroute/store/storetest"
)

var faults = faultkv.Rates{
	Refuse: 0.05, Drop: 0.05, LoseAnswer: 0.1, ApplyLate: 0.05,
	MaxDelay: 20 * time.Millisecond,
}

// linearizable runs a workload against the in-memory service. Each client has
// its own faulty link, wrapped by wrap.
func linearizable(t *testing.T, seed uint64, wrap func(store.KV) store.KV) (ok bool) {
	synctest.Test(t, func(t *testing.T) {
		kv := memkv.New(memkv.Options{})
		var links []*faultkv.Store
		var clients []store.KV
		for i := range uint64(4) {
			link := faultkv.New(kv, faultkv.Random(seed+i, faults))
			links = append(links, link)
			clients = append(clients, wrap(link))
		}
		w := storetest.Workload{Seed: seed, Clients: clients, Calls: 40, Keys: 2}
		w.Settle = func() {
			for _, link := range links {
				link.WaitLate()
				link.SetChooser(nil)
			}
		}
		ok = w.Linearizable(t.Context())
	})
	return ok
}

func TestRandomHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		if !linearizable(t, seed, func(kv store.KV) store.KV { return kv }) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
	}
}

// reportsUnknownAsUnavailable reports a write whose response was lost as not
// applied.
type reportsUnknownAsUnavailable struct{ store.KV }

func (r reportsUnknownAsUnavailable) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	revision, err := r.KV.Swap(ctx, key, value, expected, lease)
	if errors.Is(err, store.ErrUnknown) {
		err = store.ErrUnavailable
	}
	return revision, err
}

// retriesUnknown retries a write whose response was lost, as an HTTP library may
// do.
type retriesUnknown struct{ store.KV }

func (r retriesUnknown) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	revision, err := r.KV.Swap(ctx, key, value, expected, lease)
	for errors.Is(err, store.ErrUnknown) {
		revision, err = r.KV.Swap(ctx, key, value, expected, lease)
	}
	return revision, err
}

// TestHistoryCheckDetectsFaultyAdapters checks that the workload detects an
// adapter that reports a lost response as a refusal, and one that retries a
// write and returns the conflict with its own first attempt.
func TestHistoryCheckDetectsFaultyAdapters(t *testing.T) {
	faultyAdapters := map[string]func(store.KV) store.KV{
		"lost answer denied": func(kv store.KV) store.KV { return reportsUnknownAsUnavailable{kv} },
		"write sent again":   func(kv store.KV) store.KV { return retriesUnknown{kv} },
	}
	for name, wrap := range faultyAdapters {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(20) {
				if !linearizable(t, seed, wrap) {
					found++
				}
			}
			if found == 0 {
				t.Error("not detected with any seed")
			}
			t.Logf("detected with %d of 20 seeds", found)
		})
	}
}
