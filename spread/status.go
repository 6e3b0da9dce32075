package spread

import (
	"sort"
	"time"
)

// Status is a snapshot of the node's state.
type Status struct {
	VM     string `json:"vm"`
	Role   string `json:"role"`
	Ready  bool   `json:"ready"`
	Items  int    `json:"items"`
	Digest uint64 `json:"digest"`
	// Upstreams lists the VMs that the node currently receives from.
	Upstreams []string `json:"upstreams"`
	// HasStorePath reports whether the node's source reads the store or an
	// upstream has a path to a watcher. It does not imply that the watcher
	// reaches the store.
	HasStorePath bool `json:"fed"`
	// StoreAge is the time since the latest known read of the store by any
	// watcher, -1 if none is known. Later changes may be missing on this node.
	StoreAge time.Duration `json:"store_age_ns"`
	// Subscribers lists the VMs that receive from this node.
	Subscribers []string `json:"subscribers"`
	// Watching reports whether the node watches the store; SourceError is the
	// last error of the source.
	Watching    bool   `json:"watching"`
	SourceError string `json:"source_error"`
	// StaleOffers lists the keys for which the store returned an older state.
	StaleOffers []StaleOffer `json:"behind"`
	// Unsent is the number of published items that no watcher has accepted yet.
	Unsent int `json:"unsent"`
	// Peers lists the peers contacted so far.
	Peers []PeerStatus `json:"peers"`
}

// PeerStatus is what was known of a peer at the last contact.
type PeerStatus struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Equal reports whether both nodes held the same states at the last
	// contact, LastContactAge ago.
	Equal          bool          `json:"equal"`
	LastContactAge time.Duration `json:"heard_age_ns"`
	// EqualAge is the time since both nodes last held the same states, -1 if
	// they never did.
	EqualAge time.Duration `json:"equal_age_ns"`
}

// Status returns the current state of the node.
func (s *Service) Status() Status {
	s.recordOwnRead()
	snap := s.Snapshot()
	out := Status{
		VM:           s.options.Ref.Vm,
		Role:         s.plan.Load().Role.String(),
		Ready:        s.Ready(),
		Items:        snap.Len(),
		Digest:       snap.Digest(),
		HasStorePath: s.hasStorePath(),
		StoreAge:     s.storeReads.age(),
		Unsent:       s.pushes.len(),
		Peers:        s.peers.list(),
	}
	for _, f := range s.subscriptions {
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
	for _, b := range r.staleOffers {
		out.StaleOffers = append(out.StaleOffers, b)
	}
	sort.Slice(out.StaleOffers, func(i, j int) bool { return out.StaleOffers[i].Key < out.StaleOffers[j].Key })
}

func (q *pushQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.keys)
}

// list returns the contacted peers, sorted by VM.
func (t *peerTable) list() []PeerStatus {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]PeerStatus, 0, len(t.peers))
	for vm, p := range t.peers {
		status := PeerStatus{VM: vm, Incarnation: p.incarnation, Equal: p.equal, LastContactAge: now.Sub(p.lastContact), EqualAge: -1}
		if !p.equalAt.IsZero() {
			status.EqualAge = now.Sub(p.equalAt)
		}
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}
