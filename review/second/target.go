package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request at which a server began to work.
type run struct {
	id, server, service, route, tenant string
	at, end                            time.Duration
	done                               bool
}

// runs collects the runs of all servers.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (l *runs) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

func (l *runs) list() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []run
	for _, r := range l.all {
		all = append(all, *r)
	}
	return all
}

func (l *runs) running() (n int) {
	for _, r := range l.list() {
		if r.end == 0 {
			n++
		}
	}
	return n
}

// target is a stand-in of a server of a service.
type target struct {
	id, service, zone, address string
	slots                      int
	log                        *runs
	// work returns how long a request takes and the size of its answer.
	work   func(route string) (time.Duration, int)
	slot   chan struct{}
	queue  chan struct{}
	server *http.Server
	// draining is set once the server has reported that it leaves.
	draining atomic.Bool
}

// queueLength is how many requests a server queues.
const queueLength = 9

func (t *target) start(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	t.address = l.Addr().String()
	t.slot, t.queue = make(chan struct{}, t.slots), make(chan struct{}, t.slots+queueLength)
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	return nil
}

func (t *target) entry(state string) map[string]any {
	return map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots, "state": state,
		"cold_remaining_s": 0, "sequence": 1,
	}
}

// drain reports that the server leaves. It goes on serving.
func (t *target) drain(s *store) {
	t.draining.Store(true)
	s.put("servers/"+t.id, t.entry("draining"))
}

// ServeHTTP serves the health path and requests of any other path.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("Yuccaroute-Server-Load", fmt.Sprintf("%d,%d,%d", len(t.slot), max(0, len(t.queue)-len(t.slot)), t.slots))
	if t.draining.Load() {
		w.Header().Set("Connection", "close")
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Yuccaroute-Instance-Id", t.id)
		if t.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Yuccaroute-Request-Id")
	w.Header().Set("Yuccaroute-Request-Id", id)
	if want := r.Header.Get("Yuccaroute-Expected-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case t.queue <- struct{}{}:
	default:
		w.Header().Set("Yuccaroute-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.queue }()
	select {
	case t.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slot }()
	t.run(w, r, id)
}

func (t *target) run(w http.ResponseWriter, r *http.Request, id string) {
	route := "/" + strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0] + "/"
	began := &run{id: id, server: t.id, service: t.service, route: route, tenant: r.Header.Get("Yuccaroute-Tenant-Id"), at: since()}
	t.log.add(began)
	work, size := t.work(route)
	select {
	case <-time.After(work):
		began.finish(t.log, true)
	case <-r.Context().Done():
		began.finish(t.log, false)
		return
	}
	w.Header().Set("Yuccaroute-Server-Stamp", "stamp."+t.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	piece := make([]byte, 32<<10)
	for i := range piece {
		piece[i] = 'a' + byte(i%26)
	}
	for left := size; left > 0; left -= len(piece) {
		if _, err := w.Write(piece[:min(left, len(piece))]); err != nil {
			return
		}
	}
}

func (r *run) finish(l *runs, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.end, r.done = since(), done
}
