package platform_test

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/storetest"
)

// What operators are told through lost, late and unanswered writes must fit into one order of the
// writes.
func TestRandomHistoryOverHTTP(t *testing.T) {
	for seed := range uint64(4) {
		s := start(t, platform.Options{})
		s.SetFault(platform.Fault{
			Seed: seed, Refuse: 0.05, Drop: 0.05, LoseAnswer: 0.1, ApplyLate: 0.05,
			MaxDelayMillis: 3,
		})
		var clients []store.KV
		for range 4 {
			clients = append(clients, connect(t, s))
		}
		w := storetest.Workload{Seed: seed, Clients: clients, Calls: 40, Keys: 2}
		w.Settle = func() {
			s.KV().WaitLate()
			s.SetFault(platform.Fault{})
		}
		if !w.Linearizable(t.Context()) {
			t.Errorf("seed %d: no order of the calls explains the answers", seed)
		}
	}
}
