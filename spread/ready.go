package spread

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// Peers that a node must synchronize with before it is ready.
const (
	readyOwnDomain    = 2
	readyOtherDomains = 1
	// readyMaxTries bounds the peers tried per group in one round.
	readyMaxTries = 6
	// maxIsolatedRounds is the number of rounds without a response after which
	// a node that was ready before becomes ready again.
	maxIsolatedRounds = 5
)

// readiness records whether a node has synchronized with its peers.
type readiness struct {
	mu       sync.Mutex
	isReady  bool
	wasReady bool
	// changed has a buffer of one signal.
	changed chan struct{}
}

func newReadiness() *readiness {
	return &readiness{changed: make(chan struct{}, 1)}
}

func (r *readiness) set() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isReady = true
	r.wasReady = true
}

// reset requires another synchronization. everReady is unaffected, so that
// nodes that were paused together can still learn from each other.
func (r *readiness) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isReady = false
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *readiness) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isReady
}

// everReady reports whether the node was ready at any time since its start.
func (r *readiness) everReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wasReady
}

// Ready reports whether the node, since its start or its last pause, has read
// the store or synchronized with ready peers: two of its failure domain and one
// of another, or as many as respond, at least one. An isolated node becomes
// ready again after a pause with the items it has.
func (s *Service) Ready() bool { return s.readiness.ready() }

// runReady synchronizes with peers until the node is ready, and again after
// each pause.
func (s *Service) runReady(ctx context.Context) {
	for {
		for round := 0; !s.learnFromPeers(ctx); round++ {
			// An isolated node resumes with the items it has instead of
			// rejecting requests until it is reconnected.
			if s.readiness.everReady() && round == maxIsolatedRounds {
				break
			}
			if !wait.For(ctx, s.jitter(s.options.Heartbeat/2, jitterFraction)) {
				return
			}
		}
		s.readiness.set()
		s.log.Infof("spread: node is ready with %d items", s.Snapshot().Len())
		select {
		case <-ctx.Done():
			return
		case <-s.readiness.changed:
		}
	}
}

// learnFromPeers runs one round of comparisons and reports whether the node is
// synchronized.
func (s *Service) learnFromPeers(ctx context.Context) bool {
	plan := s.plan.Load()
	var ownDomain, otherDomains []topology.Member
	for _, m := range plan.Peers {
		if m.FailureDomain == s.options.Ref.Place {
			ownDomain = append(ownDomain, m)
		} else {
			otherDomains = append(otherDomains, m)
		}
	}
	var learned [2]int
	var wg sync.WaitGroup
	wg.Go(func() { learned[0] = s.learnFrom(ctx, ownDomain, readyOwnDomain) })
	wg.Go(func() { learned[1] = s.learnFrom(ctx, otherDomains, readyOtherDomains) })
	wg.Wait()
	if ctx.Err() != nil {
		return false
	}
	return learned[0]+learned[1] > 0 || s.source.synced()
}

// learnFrom compares with peers in random order until enough ready ones
// responded. Peers that were never ready do not count, because new nodes would
// consider each other synchronized.
func (s *Service) learnFrom(ctx context.Context, peers []topology.Member, enough int) int {
	learned := 0
	for i, at := range s.shuffled(len(peers)) {
		if learned == enough || i == readyMaxTries {
			break
		}
		c, err := s.compareWith(ctx, peers[at])
		if err == nil && c.ready {
			learned++
		}
	}
	return learned
}

func (s *Service) shuffled(n int) []int {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.rand.Perm(n)
}

// synced reports whether the node's own source has read the store.
func (r *sourceRunner) synced() bool {
	if syncer, ok := r.service.options.Source.(Syncer); ok {
		return syncer.Synced()
	}
	return r.healthy()
}

// readyPollInterval is the polling interval of WaitReady.
const readyPollInterval = 50 * time.Millisecond

// WaitReady blocks until the node is ready or the context ends.
func (s *Service) WaitReady(ctx context.Context) error {
	for !s.Ready() {
		if !wait.For(ctx, readyPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
