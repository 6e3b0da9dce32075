package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["many-versions"] = manyVersions }

const (
	// bigRoutes makes a configuration of a little under 1 MB, which is value_bytes.
	bigRoutes = 10580
	// stormChanges and stormGap are those of one config_storm on the site's list, 4 s long. stormPause is the time from the
	// end of one to the next one.
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
	stormPause   = 200 * time.Millisecond
	storms       = 23
	// keptClients is how many clients of each VM send one request after the other over a kept connection.
	keptClients = 12
)

// manyVersions: LOST. An operator changes a large configuration many times. The process grows with each version until the
// platform kills it for its memory; requests that it passed on end without an answer.
func manyVersions(w *world) (bool, error) {
	w.fleet.zones = map[string]string{"zagreb-a": "zagreb", "split-a": "split"}
	for _, zone := range []string{"zagreb-a", "split-a"} {
		w.fleet.add(zone, w.store.address)
	}
	work := func(string) (time.Duration, int) { return 300 * time.Millisecond, 400 }
	if err := w.addTargets("ledger-svc", "zagreb-a", 12, 6, work); err != nil {
		return false, err
	}
	version, routes := 7, bigRoutes
	if !w.trouble {
		routes = 1
	}
	put := func() int {
		version++
		rows := [][]any{{"r-0", "ficu95.example", "/view/", "safe", 2, 0.3 + float64(version%7)/100, 2, "ledger-svc", 2, true, nil, nil}}
		for i := 1; i < routes; i++ {
			rows = append(rows, []any{fmt.Sprintf("r-%d", i), "ficu95.example", fmt.Sprintf("/view/university-%05d/", i), "safe", 2, 0.3, 2, "ledger-svc", 2, true, nil, nil})
		}
		text, _ := json.Marshal(config(version, []string{"ledger-svc"}, rows...))
		w.store.put("op/config", text)
		return len(text)
	}
	w.note("a version has %d bytes", put())
	for _, v := range w.fleet.vms {
		if err := w.fleet.start(v); err != nil {
			return false, err
		}
	}
	if err := w.fleet.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var exceeded atomic.Int64
	stop := make(chan struct{})
	var clients, watchers sync.WaitGroup
	for i, v := range w.fleet.vms {
		watchers.Go(func() { enforceMemory(w, v, &exceeded, stop) })
		for k := range keptClients {
			clients.Go(func() { w.keepAsking(v, i, k, stop) })
		}
	}
	for storm := 0; storm < storms && exceeded.Load() == 0; storm++ {
		for change := 0; change < stormChanges && exceeded.Load() == 0; change++ {
			next := time.Now().Add(stormGap)
			put()
			time.Sleep(time.Until(next))
		}
		time.Sleep(stormPause)
	}
	w.note("%d versions were written", version-7)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	watchers.Wait()
	return judgeKept(w, exceeded.Load()), nil
}

// keepAsking sends one request after the other over a kept connection.
func (w *world) keepAsking(v *vm, i, k int, stop <-chan struct{}) {
	c := &caller{address: v.front, calls: w.calls, deadline: 2 * time.Second}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kept := "k"
		if c.nc == nil {
			kept = "n"
		}
		c.do(http.MethodGet, "ficu95.example", fmt.Sprintf("/view/%d", n%24), fmt.Sprintf("%s%x%02x%011x", kept, i, k, n), fmt.Sprint(n%24))
	}
}

// judgeKept applies LOST to the requests that were not the first on their connection.
func judgeKept(w *world, exceeded int64) bool {
	ran := make(map[string]bool)
	for _, r := range w.runs.list() {
		ran[r.id] = true
	}
	lost := 0
	for _, s := range w.calls.list() {
		if s.id[0] == 'k' && s.err != nil && ran[s.id] {
			lost++
			w.note("id %s was passed on and ended without an answer at %.3f s", s.id, s.end.Seconds())
		}
	}
	w.note("%d requests of kept connections were passed on and cut off; more than 3 break the rule", lost)
	return exceeded > 0 && lost > 3
}
