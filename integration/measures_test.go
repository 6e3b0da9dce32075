package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/node"
)

const (
	// countWindow is how many requests one window of recovery holds.
	countWindow = 100
	// wellWindows is how many windows in a row must be well, and wellShare the
	// least part of a well window that ran.
	wellWindows = 3
	wellShare   = 0.99
)

// recoveryWindows returns how many windows of countWindow requests, in the
// order they were sent, passed from a moment until all was well; -1 for never.
func recoveryWindows(told []check.Told, from time.Time) int {
	var after []check.Told
	for i := range told {
		if !told[i].Sent.Before(from) {
			after = append(after, told[i])
		}
	}
	sort.Slice(after, func(i, j int) bool { return after[i].Sent.Before(after[j].Sent) })
	well := 0
	for window := 0; (window+1)*countWindow <= len(after); window++ {
		ran := 0
		for _, one := range after[window*countWindow : (window+1)*countWindow] {
			if one.Outcome == result.Ran {
				ran++
			}
		}
		if ran < wellShare*countWindow {
			well = 0
			continue
		}
		if well++; well == wellWindows {
			return window + 1 - wellWindows
		}
	}
	return -1
}

// lowestHeadroom returns the least part of a limit that was left in its busiest
// second, and that limit. What is allowed for bunching is no headroom.
func lowestHeadroom(report *check.Report) (float64, string) {
	lowest, limit := 1.0, ""
	spread := 1 + clusterBunching.Seconds()
	for _, p := range report.Peaks {
		if left := 1 - float64(p.Arrivals)*spread/float64(p.Allowed); left < lowest {
			lowest, limit = left, p.Limit
		}
	}
	return lowest, limit
}

// deciderAfter waits until an entry VM decides for the account with a higher
// epoch than the one given, and returns it and its epoch.
func (f *farm) deciderAfter(epoch uint64) (int, uint64) {
	f.t.Helper()
	entry, later := -1, uint64(0)
	f.waitUntil(fmt.Sprintf("a decider with an epoch above %d", epoch), func() bool {
		entry, later = f.decider()
		return entry >= 0 && later > epoch
	})
	return entry, later
}

// decider returns the entry VM that decides for the account with the highest
// epoch, -1 for none. A paused one does not answer.
func (f *farm) decider() (entry int, epoch uint64) {
	entry = -1
	for i, admin := range f.admins {
		status, err := f.status(admin)
		if err != nil {
			continue
		}
		for _, a := range status.Control {
			if a.Account == account && a.Decider.Deciding && a.Decider.Epoch > epoch {
				entry, epoch = i, a.Decider.Epoch
			}
		}
	}
	return entry, epoch
}

// statusPatience bounds the wait for one entry VM's status.
const statusPatience = time.Second

func (f *farm) status(admin string) (*node.Status, error) {
	asker := http.Client{Timeout: statusPatience}
	resp, err := asker.Get("http://" + admin + "/status")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	status := &node.Status{}
	return status, json.NewDecoder(resp.Body).Decode(status)
}
