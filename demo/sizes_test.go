package demo

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

// serviceSize is what the first users told of a service.
type serviceSize struct {
	Targets, Slots, Connections int
}

// The demonstration has the sizes that the first users told: figures measured
// at others would not be theirs.
func TestSizes(t *testing.T) {
	want := map[model.ServiceName]serviceSize{
		"dealer-desk":    {Targets: 16, Slots: 3, Connections: 330},
		"warehouse-docs": {Targets: 12, Slots: 3, Connections: 330},
		"termindienst":   {Targets: 20, Slots: 4, Connections: 360},
		"herdenakte":     {Targets: 12, Slots: 4, Connections: 360},
	}
	between := map[model.AccountName]time.Duration{"daehan": 55 * time.Millisecond, "alpenvlies": 12 * time.Millisecond}
	got := make(map[model.ServiceName]serviceSize)
	for _, pair := range examples.Pairs() {
		account, err := resolve(pair)
		if err != nil {
			t.Fatal(err)
		}
		addSizes(got, account)
		expectDelays(t, account, between[account.Name])
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sizes of the services (-want +got):\n%s", diff)
	}
	if connectionCost != time.Millisecond || probeCost != 6*time.Millisecond || callerDelay != 3*time.Millisecond {
		t.Errorf("a connection costs %s, a probe %s, to a caller it is %s", connectionCost, probeCost, callerDelay)
	}
}

func addSizes(sizes map[model.ServiceName]serviceSize, account *model.Account) {
	for i := range account.Services {
		s := &account.Services[i]
		size := serviceSize{Slots: s.SlotsPerTarget, Connections: s.ConnectionsPerTarget}
		for _, place := range account.Places {
			size.Targets += targetsIn(s, place.Name)
		}
		sizes[s.Name] = size
	}
}

// expectDelays checks two failure domains in each of three regions, with the
// delay between the regions and half a millisecond within one.
func expectDelays(t *testing.T, account *model.Account, between time.Duration) {
	t.Helper()
	if len(account.Regions) != 3 || len(account.Places) != 6 {
		t.Errorf("%s has %d regions and %d places", account.Name, len(account.Regions), len(account.Places))
	}
	network := newNetwork(account)
	for _, from := range account.Regions {
		for _, to := range account.Regions {
			want := between
			if from.Name == to.Name {
				want = 500 * time.Microsecond
			}
			if got := network.oneWay(from.Name, to.Name); got != want {
				t.Errorf("%s to %s takes %s, want %s", from.Name, to.Name, got, want)
			}
		}
	}
}
