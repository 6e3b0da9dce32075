package spread

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// What a node must have learned from before it is ready.
const (
	readyOwnPlace  = 2
	readyElsewhere = 1
	// readyTries bounds the peers tried in each group for one round.
	readyTries = 6
	// alonePauses is after how many rounds without any answer a node that was
	// ready before its pause goes on.
	alonePauses = 5
)

// readiness is whether a node has learned what others hold.
type readiness struct {
	mu     sync.Mutex
	now    bool
	before bool
	// changed has room for one signal.
	changed chan struct{}
}

func newReadiness() *readiness {
	return &readiness{changed: make(chan struct{}, 1)}
}

func (r *readiness) set() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = true
	r.before = true
}

// reset makes the node compare again; ever is unchanged, so that nodes which
// were paused together can still learn from each other.
func (r *readiness) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = false
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *readiness) is() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

// ever reports whether the node was ready at any time in its life.
func (r *readiness) ever() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.before
}

// Ready reports whether the node has, since it started or was last paused,
// either read the store itself or compared with ready peers: two of its
// failure domain and one elsewhere, or as many as there are and answer, but at
// least one. It then holds each state that any of these held at that time. A
// state that reached none of them is not known to it. A node that was paused
// and reaches neither peers nor store is ready again after some rounds, with
// what it had.
func (s *Service) Ready() bool { return s.ready.is() }

// runReady compares with peers until the node is ready, and again after a
// pause.
func (s *Service) runReady(ctx context.Context) {
	for {
		for round := 0; !s.learn(ctx); round++ {
			// A node that was paused and finds no peer and no store goes on with
			// what it had: nothing newer can be known, and refusing its callers
			// for as long as it is cut off would serve nobody.
			if s.ready.ever() && round == alonePauses {
				break
			}
			if !wait.For(ctx, s.jitter(s.options.Heartbeat/2, jitterShare)) {
				return
			}
		}
		s.ready.set()
		s.log.Infof("spread: node is ready with %d items", s.Snapshot().Len())
		select {
		case <-ctx.Done():
			return
		case <-s.ready.changed:
		}
	}
}

// learn makes one round of comparisons and reports whether it was enough.
func (s *Service) learn(ctx context.Context) bool {
	plan := s.plan.Load()
	var own, elsewhere []topology.Member
	for _, m := range plan.Peers {
		if m.FailureDomain == s.options.Ref.Place {
			own = append(own, m)
		} else {
			elsewhere = append(elsewhere, m)
		}
	}
	var learned [2]int
	var wg sync.WaitGroup
	wg.Go(func() { learned[0] = s.learnFrom(ctx, own, readyOwnPlace) })
	wg.Go(func() { learned[1] = s.learnFrom(ctx, elsewhere, readyElsewhere) })
	wg.Wait()
	if ctx.Err() != nil {
		return false
	}
	return learned[0]+learned[1] > 0 || s.source.synced()
}

// learnFrom compares with peers in random order until enough were ready. A
// peer that is new itself does not count: two new VMs would find each other
// equal, and steer by nothing.
func (s *Service) learnFrom(ctx context.Context, peers []topology.Member, enough int) int {
	learned := 0
	for i, at := range s.shuffled(len(peers)) {
		if learned == enough || i == readyTries {
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

// synced reports whether the node has read the store by itself.
func (r *sourceRunner) synced() bool {
	if syncer, ok := r.service.options.Source.(Syncer); ok {
		return syncer.Synced()
	}
	return r.healthy()
}

// readyTimeout bounds how long WaitReady sleeps between looks.
const readyPoll = 50 * time.Millisecond

// WaitReady returns when the node is ready or with the context's error.
func (s *Service) WaitReady(ctx context.Context) error {
	for !s.Ready() {
		if !wait.For(ctx, readyPoll) {
			return ctx.Err()
		}
	}
	return nil
}
