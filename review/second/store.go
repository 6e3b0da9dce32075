package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems and pageBytes bound one page of a range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	item
	removed bool
}

// MarshalJSON writes an item, or the three fields of a removal.
func (e event) MarshalJSON() ([]byte, error) {
	if !e.removed {
		return json.Marshal(e.item)
	}
	return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "removed": true})
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	leases   map[uint64]*lease
	changed  chan struct{}
}

func startStore(address string) (*store, error) {
	s := &store{items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{}), revision: 100}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.handleKey)
	mux.HandleFunc("GET /-/kv-range", s.handleRange)
	mux.HandleFunc("GET /-/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /-/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /-/kv-lease", s.handleLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.handleEnd)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) expire() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease requires the lock.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.removeLocked(key)
		}
	}
}

func (s *store) putLocked(key string, value []byte, leaseID uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.addEvent(event{item: it})
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.addEvent(event{item: item{Key: key, Revision: s.revision}, removed: true})
}

func (s *store) addEvent(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a server. It returns after the write was acknowledged.
func (s *store) put(key string, value any) {
	text, ok := value.([]byte)
	if !ok {
		text, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, text, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

// count returns the number of keys with a prefix.
func (s *store) count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": at})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At uint64 `json:"store_revision"`
	}{it, at})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) >= pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": at})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	millis, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttl_s_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	ttl := time.Duration(max(1, in.TTL) * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(len(s.history)*1000+len(s.leases)) + 70000 + s.revision
	for s.leases[id] != nil {
		id++
	}
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_s_time": ttl.Seconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

func (s *store) handleEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
