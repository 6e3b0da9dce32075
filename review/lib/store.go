package lib

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's key-value store. It keeps its whole history.
type Store struct {
	Address string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]*lease
	changed chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// NewStore serves an empty store on a free port of an address until the process ends.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: l.Addr().String(), rev: 1, items: make(map[string]item), leases: make(map[uint64]*lease),
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return s, nil
}

// Put writes a key as the operator or a server does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, data, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

// put and remove write at the current revision; both require the lock.
func (s *Store) put(key string, value []byte, id uint64) {
	old, found := s.items[key]
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: id}
	if found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.notify()
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.rev, Removed: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease requires the lock.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, found := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			items = append(items, it)
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	millis, millisErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || millisErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(millis) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []item
	holds := true
	for _, e := range t.Expected {
		holds = holds && s.items[e.Key].Revision == e.Revision
		current = append(current, item{Key: e.Key, Revision: s.items[e.Key].Revision, Value: s.items[e.Key].Value})
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(in.TTL * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.leases[s.rev] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl_s_time": in.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
