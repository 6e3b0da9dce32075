package spread

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

const (
	// sourcePauseMin and sourcePauseMax bound the backoff after a failed run.
	// The pause doubles and is jittered, so that watchers do not reconnect
	// simultaneously after an outage.
	sourcePauseMin = 500 * time.Millisecond
	sourcePauseMax = 5 * time.Second
	// fallbackHeartbeats is how long a relay may be without a path to the store
	// before it watches the store itself.
	fallbackHeartbeats = 2
)

// StaleOffer records that the store returned an older state than the active
// one, because it was restored or a replica lags.
type StaleOffer struct {
	Key             string `json:"key"`
	OfferedEpoch    uint64 `json:"offered_epoch"`
	OfferedSequence uint64 `json:"offered_sequence"`
	ActiveEpoch     uint64 `json:"in_force_epoch"`
	ActiveSequence  uint64 `json:"in_force_sequence"`
}

// sourceRunner runs the source while the node acts as a watcher.
type sourceRunner struct {
	service *Service

	mu      sync.Mutex
	running bool
	emitted bool
	failure error
	// readAt is when the source is known to have last read the store.
	readAt      time.Time
	staleOffers map[string]StaleOffer
}

func newSourceRunner(s *Service) *sourceRunner {
	return &sourceRunner{service: s, staleOffers: map[string]StaleOffer{}}
}

func (r *sourceRunner) run(ctx context.Context) {
	if r.service.options.Source == nil {
		return
	}
	for r.waitUntilNeeded(ctx) {
		r.watch(ctx)
	}
}

// waitUntilNeeded returns true once the node should watch the store, and false
// when the context ends.
func (r *sourceRunner) waitUntilNeeded(ctx context.Context) bool {
	lastPath := time.Now()
	for ctx.Err() == nil {
		changed := r.service.planChanged()
		if r.service.upstreamHasStorePath() {
			lastPath = time.Now()
		}
		if r.shouldWatch(time.Since(lastPath)) {
			return true
		}
		t := time.NewTimer(r.service.jitter(r.service.options.Heartbeat, jitterFraction))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	return false
}

// shouldWatch reports whether the node should watch the store. A relay without
// a path to the store takes over, because both watchers of a region may be down
// while the VM list still contains them.
func (r *sourceRunner) shouldWatch(withoutPath time.Duration) bool {
	switch r.service.plan.Load().Role {
	case topology.Watcher:
		return true
	case topology.Relay:
		limit := fallbackHeartbeats * r.service.options.Heartbeat
		return withoutPath > r.service.jitter(limit, jitterFraction)
	default:
		return false
	}
}

// watch runs the source until the node should no longer watch or the context
// ends.
func (r *sourceRunner) watch(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer cancel()
		r.waitUntilNotNeeded(ctx)
	})
	pause := sourcePauseMin
	for ctx.Err() == nil {
		if r.runOnce(ctx) {
			pause = sourcePauseMin
		}
		if !wait.For(ctx, r.service.jitter(pause, jitterFraction)) {
			return
		}
		pause = min(2*pause, sourcePauseMax)
	}
}

// waitUntilNotNeeded returns when the node should no longer watch the store.
func (r *sourceRunner) waitUntilNotNeeded(ctx context.Context) {
	for ctx.Err() == nil {
		role := r.service.plan.Load().Role
		if role == topology.Leaf || role == topology.Relay && r.service.upstreamHasStorePath() {
			return
		}
		wait.For(ctx, r.service.jitter(r.service.options.Heartbeat, jitterFraction))
	}
}

// runOnce runs the source once and reports whether it read anything.
func (r *sourceRunner) runOnce(ctx context.Context) bool {
	r.set(true, nil)
	err := r.service.options.Source.Run(ctx, r.emit)
	r.mu.Lock()
	read := r.emitted
	r.mu.Unlock()
	r.set(false, err)
	if err != nil && ctx.Err() == nil {
		r.service.log.Warnf("spread: watching the store failed: %v", err)
	}
	return read
}

func (r *sourceRunner) set(running bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running && r.emitted {
		r.readAt = time.Now()
	}
	r.running = running
	r.emitted = false
	r.failure = err
}

// emit applies one state from the store.
func (r *sourceRunner) emit(key string, epoch, sequence uint64, body []byte) {
	if err := validate(key, body); err != nil {
		r.service.log.Warnf("%v", err)
		return
	}
	it := item.New(key, epoch, sequence, body)
	outcome := r.service.apply(it, nil)
	r.mu.Lock()
	r.emitted = true
	if outcome != item.Stale {
		delete(r.staleOffers, key)
	}
	r.mu.Unlock()
	if outcome == item.Stale {
		r.recordStaleOffer(it)
	}
}

// recordStaleOffer records an older state returned by the store. The node keeps
// the newer state; status and log report the difference to the operator.
func (r *sourceRunner) recordStaleOffer(offered item.Item) {
	have, _ := r.service.Snapshot().Get(offered.Key)
	r.mu.Lock()
	_, known := r.staleOffers[offered.Key]
	r.staleOffers[offered.Key] = StaleOffer{
		Key:             offered.Key,
		OfferedEpoch:    offered.Epoch,
		OfferedSequence: offered.Sequence,
		ActiveEpoch:     have.Epoch,
		ActiveSequence:  have.Sequence,
	}
	r.mu.Unlock()
	if !known {
		r.service.log.Warnf("spread: store returned %s at older version %d.%d, active version is %d.%d", offered.Key, offered.Epoch, offered.Sequence, have.Epoch, have.Sequence)
	}
}

// lastRead returns when the source last read the store. A source that does not
// implement LastReader counts as reading until its run ends.
func (r *sourceRunner) lastRead() (time.Time, bool) {
	if reader, ok := r.service.options.Source.(LastReader); ok {
		at := reader.LastRead()
		return at, !at.IsZero()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running && r.emitted {
		return time.Now(), true
	}
	return r.readAt, !r.readAt.IsZero()
}

// healthy reports whether the source has read the store in its current run.
func (r *sourceRunner) healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running && r.emitted
}

// upstreamHasStorePath reports whether an upstream has a path to the store.
func (s *Service) upstreamHasStorePath() bool {
	for _, f := range s.subscriptions {
		if _, hasStorePath := f.state(); hasStorePath {
			return true
		}
	}
	return false
}

// hasStorePath reports whether the node has a path to the store through its own
// source or an upstream. A watcher that knows no other watcher always has one.
func (s *Service) hasStorePath() bool {
	plan := s.plan.Load()
	if plan.Role == topology.Watcher && len(plan.Watchers) == 0 {
		return true
	}
	return s.source.healthy() || s.upstreamHasStorePath()
}
