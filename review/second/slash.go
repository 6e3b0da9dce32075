package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// slashRequests is how many requests are sent before and after the change.
const slashRequests = 20

// encodedSlash: ROUTE. Callers look up objects whose names hold a slash, which they send percent-encoded. A new version
// adds a route whose prefix does not begin these paths. It must not take them to another service.
func encodedSlash(w *world) (bool, error) {
	w.fleet.zones = map[string]string{"tirol-inn": "tirol"}
	for range 2 {
		w.fleet.add("tirol-inn", w.store.address)
	}
	work := func(string) (time.Duration, int) { return 20 * time.Millisecond, 400 }
	for _, service := range []string{"herdenakte", "termindienst"} {
		if err := w.addTargets(service, "tirol-inn", 4, 4, work); err != nil {
			return false, err
		}
	}
	services := []string{"herdenakte", "termindienst"}
	all := []any{"r-1", "ficu95.example", "/", "safe", 1.2, 0.4, 1, "herdenakte", 2, true, nil, nil}
	added := []any{"r-2", "ficu95.example", "/export/", "safe", 1.2, 0.4, 1, "termindienst", 2, true, nil, nil}
	w.store.put("op/config", config(7, services, all))
	for _, v := range w.fleet.vms {
		if err := w.fleet.start(v); err != nil {
			return false, err
		}
	}
	if err := w.fleet.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	w.sendObjects("e1")
	if w.trouble {
		w.store.put("op/config", config(12, services, all, added))
		w.note("version 12 adds the route /export/ to termindienst: acknowledged")
	}
	time.Sleep(4 * time.Second)
	w.sendObjects("e2")
	return judgeRoute(w, map[string]string{"/": "herdenakte", "/export/": "termindienst"}), nil
}

func (w *world) sendObjects(series string) {
	for i := range slashRequests {
		v := w.fleet.vms[i%len(w.fleet.vms)]
		c := &caller{address: v.front, calls: w.calls, deadline: 2 * time.Second}
		path := fmt.Sprintf("/export%%2F%d/page", i)
		if i%4 == 3 {
			path = fmt.Sprintf("/flock-%d/page", i)
		}
		c.do("GET", "ficu95.example", path, fmt.Sprintf("%s%014x", series, i), "")
		c.close()
	}
}

// judgeRoute applies ROUTE: of the prefixes of all versions that begin the path as it was sent, none has the service.
func judgeRoute(w *world, services map[string]string) bool {
	path := make(map[string]string)
	for _, s := range w.calls.list() {
		path[s.id] = s.path
	}
	wrong := 0
	for _, r := range w.runs.list() {
		allowed := false
		for prefix, service := range services {
			allowed = allowed || strings.HasPrefix(path[r.id], prefix) && service == r.service
		}
		if !allowed {
			wrong++
			w.note("id %s with the path %s was run by %s", r.id, path[r.id], r.service)
		}
	}
	w.note("%d requests were run by a service that no version allows", wrong)
	return wrong > 0
}
