package soak

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/placing"
)

// loggedRequest is a VM's log line of a request.
type loggedRequest struct {
	Time       string `json:"time"`
	ID         string `json:"id"`
	Service    string `json:"service"`
	Result     string `json:"result"`
	Why        string `json:"why"`
	LeftMS     int    `json:"left_ms"`
	WaitedMS   int    `json:"waited_ms"`
	ExpectedMS int    `json:"expected_ms"`
	// Owner is the VM that placed the request, if it is another one.
	Owner string `json:"owner"`
}

// crowdRequests returns the VM's log lines of the crowd's requests.
func (p *process) crowdRequests() (all []loggedRequest, err error) {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return nil, err
	}
	for line := range bytes.Lines(text) {
		if !bytes.Contains(line, []byte(crowdName)) {
			continue
		}
		// A line that the program was killed at is no JSON.
		var l loggedRequest
		if json.Unmarshal(line, &l) == nil {
			all = append(all, l)
		}
	}
	return all, nil
}

// loggedByID returns what the VMs logged of the crowd's requests, by their IDs.
func (w *world) loggedByID() map[string][]string {
	logged := make(map[string][]string)
	for _, p := range w.processes {
		lines, err := p.crowdRequests()
		if err != nil {
			w.t.Errorf("log of %s: %v", p.vm.Name, err)
		}
		for _, l := range lines {
			text := fmt.Sprintf("%s %s %s: %s (%s), left %d ms, waited %d ms, expected %d ms",
				p.vm.Name, l.Time, l.Service, l.Result, l.Why, l.LeftMS, l.WaitedMS, l.ExpectedMS)
			if l.Owner != "" {
				text = fmt.Sprintf("%s to %s", p.vm.Name, l.Owner)
			}
			logged[l.ID] = append(logged[l.ID], text)
		}
	}
	return logged
}

// triesBetween describes the crowd's requests of a key and route between two served ones: what the caller saw,
// and what the VMs logged. It shows whether the VMs refused the key or nobody asked for it.
func triesBetween(seen *journal, logged map[string][]string, what string, from, to time.Time) string {
	route, affinity, _ := strings.Cut(what, " of ")
	order, prefix := route == "orders", "/look/"
	if order {
		prefix = crowdPrefix
	}
	var tries []outcome
	for _, o := range seen.outcomes() {
		asked := seen.began.Add(o.at - o.took)
		if o.affinity == affinity && o.order == order && strings.HasPrefix(o.id, crowdName) && !asked.Before(from) && asked.Before(to) {
			tries = append(tries, o)
		}
	}
	slices.SortFunc(tries, func(a, b outcome) int { return cmp.Compare(a.at-a.took, b.at-b.took) })
	var text strings.Builder
	fmt.Fprintf(&text, "%d tries after %s, affinity_key %s", len(tries), from.Format("15:04:05.000"), strconv.FormatUint(placing.HashOf(prefix+affinity), 36))
	for _, o := range tries {
		fmt.Fprintf(&text, "\n%.3f s %s: %d after %d ms, Retry-After %.3f; %s", seen.began.Add(o.at-o.took).Sub(from).Seconds(), o.id,
			o.status, o.took.Milliseconds(), o.retryAfter, strings.Join(logged[o.id], "; "))
	}
	return text.String()
}
