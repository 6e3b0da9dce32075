package spread

import (
	"sort"
	"time"
)

// Status is what the node knows at one moment.
type Status struct {
	VM     string `json:"vm"`
	Role   string `json:"role"`
	Ready  bool   `json:"ready"`
	Items  int    `json:"items"`
	Digest uint64 `json:"digest"`
	// Upstreams names the nodes it receives from now.
	Upstreams []string `json:"upstreams"`
	// HasStorePath tells whether its source reads the store or an upstream leads to a
	// watcher. It does not tell whether that watcher reaches the store.
	HasStorePath bool `json:"fed"`
	// StoreAge is the time since the latest reading of the store by a watcher
	// that this node knows of, -1 when it knows of none. What was accepted
	// after that may be missing here.
	StoreAge time.Duration `json:"store_age_ns"`
	// Subscribers names the nodes that receive from it.
	Subscribers []string `json:"subscribers"`
	// Watching tells that it watches the store; SourceError is why not.
	Watching    bool   `json:"watching"`
	SourceError string `json:"source_error"`
	// StaleOffers lists keys of which the store offered an older state.
	StaleOffers []StaleOffer `json:"behind"`
	// Unsent is how many published items no watcher has taken yet.
	Unsent int `json:"unsent"`
	// Peers are the nodes heard so far; one not listed was not heard.
	Peers []PeerStatus `json:"peers"`
}

// PeerStatus is what was known of a peer when it was last heard.
type PeerStatus struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Equal tells that all items were the same HeardAge ago. It says nothing
	// about now.
	Equal          bool          `json:"equal"`
	LastContactAge time.Duration `json:"heard_age_ns"`
	// EqualAge is the time since it was last equal, -1 if it never was.
	EqualAge time.Duration `json:"equal_age_ns"`
}

// Status returns what the node knows.
func (s *Service) Status() Status {
	s.noteOwnRead()
	snap := s.Snapshot()
	out := Status{
		VM:           s.options.Ref.Vm,
		Role:         s.plan.Load().Role.String(),
		Ready:        s.Ready(),
		Items:        snap.Len(),
		Digest:       snap.Digest(),
		HasStorePath: s.fed(),
		StoreAge:     s.reads.age(),
		Unsent:       s.pushes.len(),
		Peers:        s.heard.list(),
	}
	for _, f := range s.follows {
		if vm, _ := f.state(); vm != "" {
			out.Upstreams = append(out.Upstreams, vm)
		}
	}
	for _, ref := range s.server.list() {
		out.Subscribers = append(out.Subscribers, ref.Vm)
	}
	sort.Strings(out.Subscribers)
	s.source.report(&out)
	return out
}

func (r *sourceRunner) report(out *Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Watching = r.running
	if r.failure != nil {
		out.SourceError = r.failure.Error()
	}
	for _, b := range r.behind {
		out.StaleOffers = append(out.StaleOffers, b)
	}
	sort.Slice(out.StaleOffers, func(i, j int) bool { return out.StaleOffers[i].Key < out.StaleOffers[j].Key })
}

func (q *pushQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.keys)
}

// list returns the peers heard, sorted by VM.
func (t *heardTable) list() []PeerStatus {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]PeerStatus, 0, len(t.peers))
	for vm, p := range t.peers {
		status := PeerStatus{VM: vm, Incarnation: p.incarnation, Equal: p.equal, LastContactAge: now.Sub(p.heardAt), EqualAge: -1}
		if !p.equalAt.IsZero() {
			status.EqualAge = now.Sub(p.equalAt)
		}
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}
