package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["owner-kill"] = ownerKill }

const (
	ownerRequests = 80
	evacuatedZone = "tirol-lech"
	// lookupWork is longer than the time after which the program sends an idempotent request to a second server.
	lookupWork = 3200 * time.Millisecond
)

// ownerKill: BUDGET. Clients of one VM look up objects, with an affinity key each. One other VM of the zone is killed
// meanwhile. A request must not run on more servers than its route's max_attempts.
func ownerKill(w *world) (bool, error) {
	w.fleet.zones = map[string]string{"tirol-inn": "tirol", evacuatedZone: "tirol"}
	for range 5 {
		w.fleet.add("tirol-inn", w.store.address)
	}
	work := func(string) (time.Duration, int) { return lookupWork, 1500 }
	if err := w.addTargets("termindienst", evacuatedZone, 24, 4, work); err != nil {
		return false, err
	}
	if err := w.addTargets("termindienst", "tirol-inn", 12, 4, work); err != nil {
		return false, err
	}
	attempts := map[string]int{"/roster/": 2, "/single/": 1}
	w.store.put("op/config", config(7, []string{"termindienst"},
		[]any{"r-1", "ficu95.example", "/roster/", "safe", 9, 1.2, 2, "termindienst", attempts["/roster/"], true, nil, nil},
		[]any{"r-2", "ficu95.example", "/single/", "safe", 9, 1.2, 2, "termindienst", attempts["/single/"], true, nil, nil}))
	for _, v := range w.fleet.vms {
		if err := w.fleet.start(v); err != nil {
			return false, err
		}
	}
	if err := w.fleet.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	w.note("clients send %d requests to %s and %s", ownerRequests, w.fleet.vms[0].name, w.fleet.vms[2].name)
	var clients sync.WaitGroup
	for i := range ownerRequests {
		prefix := "/single/"
		c := &caller{address: w.fleet.vms[2*(i%2)].front, calls: w.calls, deadline: 10 * time.Second}
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			defer c.close()
			c.do("GET", "ficu95.example", fmt.Sprintf("%sobject-%d", prefix, i), fmt.Sprintf("%016x", 0x1c41d07be2a30000+i), fmt.Sprint(i))
		})
	}
	time.Sleep(1800 * time.Millisecond)
	w.store.put("op/evacuate/"+evacuatedZone, map[string]any{})
	w.note("the evacuation of %s is acknowledged", evacuatedZone)
	time.Sleep(time.Second)
	if w.trouble {
		killed := w.fleet.vms[1]
		killed.signal(syscall.SIGKILL)
		w.note("%s is killed", killed.name)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return judgeAttempts(w, attempts), nil
}

// judgeAttempts applies BUDGET: more than three requests run on more servers than their route's max_attempts.
func judgeAttempts(w *world, attempts map[string]int) bool {
	servers := make(map[string]map[string]bool)
	routes := make(map[string]string)
	for _, r := range w.runs.list() {
		if servers[r.id] == nil {
			servers[r.id] = make(map[string]bool)
		}
		servers[r.id][r.server] = true
		routes[r.id] = r.route
	}
	over, byRoute := 0, make(map[string]int)
	for id, on := range servers {
		if len(on) > attempts[routes[id]] {
			over++
			byRoute[routes[id]]++
			w.note("id %s of route %s has run on %d servers, max_attempts %d", id, routes[id], len(on), attempts[routes[id]])
		}
	}
	w.note("%d requests on more servers than max_attempts (%v); more than 3 break the rule", over, byRoute)
	return over > 3
}
