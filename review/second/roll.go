package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll-stop"] = rollStop }

const (
	rollRequests = 60
	// confirmWork is the longest work of crew-confirm on fq-reservas-grown.
	confirmWork = 5880 * time.Millisecond
	// rollGap is the time between the stops of two VMs.
	rollGap = 1300 * time.Millisecond
	// graceTime is grace_s; its last sixth excuses.
	graceTime = 6 * time.Second
	// confirmTimeout is the route's timeout_s.
	confirmTimeout = 9 * time.Second
)

// rollStop: LOST. Two VMs of a zone are stopped as planned, one after the other. The second one has taken requests from
// clients that may run once, and their servers are at work. It must not give answers of its own in their place.
func rollStop(w *world) (bool, error) {
	w.fleet.zones = map[string]string{"central-a": "gt-central"}
	w.fleet.bounds["drain_s"], w.fleet.bounds["contact_s"], w.fleet.bounds["config_apply_s"] = "4", "4", "4"
	for range 5 {
		w.fleet.add("central-a", w.store.address)
	}
	work := func(string) (time.Duration, int) { return confirmWork, 400 }
	if err := w.addTargets("cuadrilla", "central-a", 30, 8, work); err != nil {
		return false, err
	}
	w.store.put("op/config", config(7, []string{"cuadrilla"},
		[]any{"r-1", "ficu95.example", "/confirm/", "non_idempotent", confirmTimeout.Seconds(), 3, 1, "cuadrilla", 2, true, nil, nil}))
	for _, v := range w.fleet.vms {
		if err := w.fleet.start(v); err != nil {
			return false, err
		}
	}
	if err := w.fleet.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	taker, other := w.fleet.vms[0], w.fleet.vms[1]
	w.note("clients send %d requests to %s", rollRequests, taker.name)
	var clients sync.WaitGroup
	for i := range rollRequests {
		c := &caller{address: taker.front, calls: w.calls, deadline: 10 * time.Second}
		clients.Go(func() {
			defer c.close()
			c.do(http.MethodPost, "ficu95.example", fmt.Sprintf("/confirm/%d", i), fmt.Sprintf("d%015x", i), fmt.Sprint(i))
		})
	}
	time.Sleep(100 * time.Millisecond)
	stoppedAt := time.Duration(0)
	if w.trouble {
		other.signal(syscall.SIGTERM)
		w.note("SIGTERM to %s", other.name)
		time.Sleep(rollGap)
		taker.signal(syscall.SIGTERM)
		stoppedAt = since()
		w.note("SIGTERM to %s", taker.name)
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	return judgeStop(w, stoppedAt), nil
}

// judgeStop applies LOST to requests whose server would have ended its work before the last sixth of grace_s of the
// machine that took them from the client, and before the route's timeout and the client's deadline.
func judgeStop(w *world, stoppedAt time.Duration) bool {
	ran := make(map[string]run)
	for _, r := range w.runs.list() {
		ran[r.id] = r
	}
	lost, excused, answered := 0, 0, 0
	for _, s := range w.calls.list() {
		r, found := ran[s.id]
		switch {
		case s.err == nil && s.stamp != "":
			answered++
		case s.end-s.at > confirmTimeout-judgeMargin:
			excused++
		case found && !r.done && (stoppedAt == 0 || r.at+confirmWork < stoppedAt+graceTime*5/6):
			lost++
			w.note("id %s: its server was at work since %.3f s, and the client got status %d without a stamp at %.3f s",
				s.id, r.at.Seconds(), s.status, s.end.Seconds())
		default:
			excused++
		}
	}
	w.note("%d answered by servers, %d broken off while their servers were at work, %d others; one breaks the rule", answered, lost, excused)
	return lost > 0
}
