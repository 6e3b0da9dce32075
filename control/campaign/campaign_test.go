package campaign

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// The store is out for an hour: every node is without a decider. When it is
// back, only a few of the fleet may call it.
func TestOutageMakesFewCandidates(t *testing.T) {
	var fleet []string
	for i := range 550 {
		fleet = append(fleet, fmt.Sprintf("entry-%d", i))
	}
	for _, without := range []time.Duration{0, time.Hour} {
		due := 0
		for _, vm := range fleet {
			if ShouldCampaign(Rank("daehan", vm, fleet), without) {
				due++
			}
		}
		if due < firstRanks || due > mostRanks {
			t.Errorf("%d candidates after %s", due, without)
		}
	}
}

// Accounts must be spread over the nodes, and keep their order when a node
// that is not among the first ends.
func TestRanksSpreadAccounts(t *testing.T) {
	fleet := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	firsts := make(map[string]int)
	for i := range 800 {
		account := model.AccountName(fmt.Sprintf("account-%d", i))
		for _, vm := range fleet {
			if Rank(account, vm, fleet) == 0 {
				firsts[vm]++
			}
		}
	}
	for _, vm := range fleet {
		if firsts[vm] < 50 || firsts[vm] > 150 {
			t.Errorf("%s is first for %d of 800 accounts", vm, firsts[vm])
		}
	}
}
