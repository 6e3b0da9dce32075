package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["tenant-name"] = tenantName }

// tenantRequests is how many requests are sent with each key before and after the change.
const tenantRequests = 20

// tenantName: CONFIG. A version adds a tenant whose name has a space, takes a key away and moves the route to another
// service. Requests that are sent later than config_apply_s after its acknowledgement must follow it.
func tenantName(w *world) (bool, error) {
	w.fleet.zones = map[string]string{"tirol-inn": "tirol"}
	for range 2 {
		w.fleet.add("tirol-inn", w.store.address)
	}
	work := func(string) (time.Duration, int) { return 20 * time.Millisecond, 400 }
	for _, service := range []string{"termindienst", "herdenakte"} {
		if err := w.addTargets(service, "tirol-inn", 4, 4, work); err != nil {
			return false, err
		}
	}
	added := "alm lech"
	if !w.trouble {
		added = "alm-lech"
	}
	version := func(number int, service string, tenants ...[]any) map[string]any {
		c := config(number, []string{"termindienst", "herdenakte"},
			[]any{"r-1", "ficu95.example", "/register/", "safe", 1.2, 0.4, 1, service, 2, true, nil, nil})
		c["tenants"] = map[string]any{"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"}, "rows": tenants}
		return c
	}
	w.store.put("op/config", version(7, "termindienst", []any{"inn", []string{"key-one", "key-two"}, 0, 0, 0}))
	for _, v := range w.fleet.vms {
		if err := w.fleet.start(v); err != nil {
			return false, err
		}
	}
	if err := w.fleet.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	w.sendWithKeys("f1")
	w.store.put("op/config", version(12, "herdenakte", []any{"inn", []string{"key-one"}, 0, 0, 0}, []any{added, []string{"key-three"}, 0, 0, 0}))
	acknowledged := since()
	w.note("version 12 adds the tenant %q, takes key-two away and moves the route to herdenakte: acknowledged", added)
	time.Sleep(configApplyTime + 4*time.Second)
	w.sendWithKeys("f2")
	return judgeTenants(w, acknowledged+configApplyTime+judgeMargin), nil
}

func (w *world) sendWithKeys(series string) {
	for k, key := range []string{"key-one", "key-two", "key-three"} {
		for i := range tenantRequests {
			v := w.fleet.vms[i%len(w.fleet.vms)]
			c := &caller{address: v.front, calls: w.calls, deadline: 2 * time.Second, header: map[string]string{"X-Api-Key": key}}
			c.do(http.MethodGet, "ficu95.example", fmt.Sprintf("/register/%d", i), fmt.Sprintf("%s%d%013x", series, k, i), "")
			c.close()
		}
	}
}

// judgeTenants applies CONFIG to the requests that were sent later than the bound.
func judgeTenants(w *world, bound time.Duration) bool {
	ran := make(map[string]run)
	for _, r := range w.runs.list() {
		ran[r.id] = r
	}
	byOld, droppedKey, refused := 0, 0, 0
	for _, s := range w.calls.list() {
		if s.at <= bound {
			continue
		}
		r, found := ran[s.id]
		key := strings.TrimPrefix(s.id, "f2")[:1]
		switch {
		case found && key == "1":
			droppedKey++
		case found && r.service == "termindienst":
			byOld++
		case !found && key != "1" && s.status == http.StatusUnauthorized:
			refused++
		}
	}
	w.note("sent later than %.3f s: %d run by the old service, %d run with the key that was taken away, %d refused with 401 though the key is there",
		bound.Seconds(), byOld, droppedKey, refused)
	return byOld+droppedKey+refused > 0
}
