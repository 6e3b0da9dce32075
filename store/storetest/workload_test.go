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

// linearizable runs a workload against the service in memory, each client
// behind wrap of its own faulty link.
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

func TestRandomHistory(t *testing.T) {
	for seed := range uint64(20) {
		if !linearizable(t, seed, func(kv store.KV) store.KV { return kv }) {
			t.Errorf("seed %d: no order of the calls explains the answers", seed)
		}
	}
}

// deny says of a write with a lost answer that it did not happen.
type deny struct{ store.KV }

func (d deny) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	revision, err := d.KV.Swap(ctx, key, value, expected, lease)
	if errors.Is(err, store.ErrUnknown) {
		err = store.ErrUnavailable
	}
	return revision, err
}

// resend sends a write with a lost answer again, as an HTTP library may do.
type resend struct{ store.KV }

func (r resend) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	revision, err := r.KV.Swap(ctx, key, value, expected, lease)
	for errors.Is(err, store.ErrUnknown) {
		revision, err = r.KV.Swap(ctx, key, value, expected, lease)
	}
	return revision, err
}

// TestHistoryCheckCanFail plants two errors of an adapter and looks whether
// the check finds them: a lost answer taken for a refusal, and a write sent
// again, whose conflict with its own first copy is passed on.
func TestHistoryCheckCanFail(t *testing.T) {
	planted := map[string]func(store.KV) store.KV{
		"lost answer denied": func(kv store.KV) store.KV { return deny{kv} },
		"write sent again":   func(kv store.KV) store.KV { return resend{kv} },
	}
	for name, wrap := range planted {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(20) {
				if !linearizable(t, seed, wrap) {
					found++
				}
			}
			if found == 0 {
				t.Error("not found with any seed")
			}
			t.Logf("found with %d of 20 seeds", found)
		})
	}
}
