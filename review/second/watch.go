package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["silent-watch"] = silentWatch }

const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	// judgeMargin is left out behind each bound.
	judgeMargin = 50 * time.Millisecond
	// silenceAfter is the time from the added server to the disruption.
	silenceAfter = 500 * time.Millisecond
	// probePause is the pause of a client between two requests.
	probePause = 15 * time.Millisecond
)

// silentWatch: CONFIG. Open connections to the store over which VMs wait for changes go silent for good, while new ones
// work. Shortly after, a configuration moves a route to another service. A request that is sent later than config_apply_s
// after its acknowledgement, by machines in touch, must not be run by the old service.
func silentWatch(w *world) (bool, error) {
	w.fleet.zones = map[string]string{
		"tirol-inn": "tirol", "tirol-lech": "tirol", "stmk-mur": "steiermark", "stmk-enns": "steiermark",
		"sbg-pinz": "salzburg", "sbg-pong": "salzburg",
	}
	var proxies []*proxy
	for _, zone := range []string{"tirol-inn", "stmk-mur", "sbg-pinz", "tirol-lech", "stmk-enns", "sbg-pong"} {
		p, err := startProxy("127.0.78.2:0", w.store.address)
		if err != nil {
			return false, err
		}
		defer p.close()
		proxies = append(proxies, p)
		w.fleet.add(zone, p.address)
	}
	work := func(string) (time.Duration, int) { return 20 * time.Millisecond, 400 }
	for _, service := range []string{"termindienst", "herdenakte"} {
		if err := w.addTargets(service, "tirol-inn", 6, 4, work); err != nil {
			return false, err
		}
	}
	version := func(number int, service string) map[string]any {
		return config(number, []string{"termindienst", "herdenakte"},
			[]any{"r-1", "ficu95.example", "/register/", "safe", 1.2, 0.4, 1, service, 2, true, nil, nil})
	}
	w.store.put("op/config", version(7, "termindienst"))
	for _, v := range w.fleet.vms {
		if err := w.fleet.start(v); err != nil {
			return false, err
		}
	}
	if err := w.fleet.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, v := range w.fleet.vms {
		c := &caller{address: v.front, calls: w.calls, deadline: 2 * time.Second}
		clients.Go(func() {
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(probePause):
				}
				c.do("GET", "ficu95.example", fmt.Sprintf("/register/%d", n%24), fmt.Sprintf("%02x%014x", 0x90+i, n), fmt.Sprint(n%24))
			}
		})
	}
	time.Sleep(4 * time.Second)
	changed := time.Now()
	if err := w.addTargets("herdenakte", "stmk-mur", 1, 4, work); err != nil {
		return false, err
	}
	w.note("a server is added: acknowledged")
	time.Sleep(silenceAfter)
	silentAt := since()
	if w.trouble {
		n := 0
		for _, p := range proxies {
			n += p.silenceWatches(changed)
		}
		w.note("%d open connections to the store go silent", n)
	}
	time.Sleep(200 * time.Millisecond)
	leaving := w.targets[0]
	leaving.drain(w.store)
	w.store.put("op/config", version(12, "herdenakte"))
	acknowledged := since()
	w.note("server %s is draining, version 12 moves the route to herdenakte: acknowledged", leaving.id)
	time.Sleep(5500 * time.Millisecond)
	close(stop)
	clients.Wait()
	return judgeConfig(w, silentAt, acknowledged), nil
}

// judgeConfig applies CONFIG to the requests that were sent after both bounds.
func judgeConfig(w *world, silentAt, acknowledged time.Duration) bool {
	bound := max(acknowledged+configApplyTime, silentAt+contactTime) + judgeMargin
	ranOn, drained := make(map[string]string), 0
	for _, r := range w.runs.list() {
		ranOn[r.id] = r.service
		// drain_s equals config_apply_s here.
		if r.server == w.targets[0].id && r.at > bound {
			drained++
		}
	}
	w.note("%d requests reached the draining server later than that (DRAIN)", drained)
	late, byVM := 0, make(map[string]int)
	var last time.Duration
	for _, s := range w.calls.list() {
		if s.at > bound && ranOn[s.id] == "termindienst" {
			late++
			byVM[s.vm]++
			last = max(last, s.at)
		}
	}
	w.note("bound: sent later than %.3f s; %d requests sent later were run by the old service (%v), the last sent at %.3f s",
		bound.Seconds(), late, byVM, last.Seconds())
	return late > 0
}
