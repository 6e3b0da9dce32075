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
	// sourcePauseMin and sourcePauseMax bound the time before a source that
	// failed is run again. They double and are jittered, so that the watchers
	// don't come back to the store at one moment after an outage.
	sourcePauseMin = 500 * time.Millisecond
	sourcePauseMax = 5 * time.Second
	// standInHeartbeats is how long a relay may receive from nobody before it
	// watches the store itself.
	standInHeartbeats = 2
)

// StaleOffer tells that the store offered an older state than the one in force: it
// was restored, or a replica that lags answered.
type StaleOffer struct {
	Key             string `json:"key"`
	OfferedEpoch    uint64 `json:"offered_epoch"`
	OfferedSequence uint64 `json:"offered_sequence"`
	ActiveEpoch     uint64 `json:"in_force_epoch"`
	ActiveSequence  uint64 `json:"in_force_sequence"`
}

// sourceRunner runs the source while the node is a watcher.
type sourceRunner struct {
	service *Service

	mu      sync.Mutex
	running bool
	emitted bool
	failure error
	// readAt is when the source last read the store, as far as is known.
	readAt time.Time
	behind map[string]StaleOffer
}

func newSourceRunner(s *Service) *sourceRunner {
	return &sourceRunner{service: s, behind: map[string]StaleOffer{}}
}

func (r *sourceRunner) run(ctx context.Context) {
	if r.service.options.Source == nil {
		return
	}
	for r.waitForDuty(ctx) {
		r.watch(ctx)
	}
}

// waitForDuty returns true once the node should watch.
func (r *sourceRunner) waitForDuty(ctx context.Context) bool {
	unfed := time.Now()
	for ctx.Err() == nil {
		changed := r.service.planChanged()
		if r.service.hasFeed() {
			unfed = time.Now()
		}
		if r.onDuty(time.Since(unfed)) {
			return true
		}
		t := time.NewTimer(r.service.jitter(r.service.options.Heartbeat, jitterShare))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	return false
}

// onDuty tells whether the node should watch the store. A relay stands in when
// it has received from nobody for a while: the VM list lags, and both watchers
// of a region may have gone with their rack while it still names them.
func (r *sourceRunner) onDuty(unfed time.Duration) bool {
	switch r.service.plan.Load().Role {
	case topology.Watcher:
		return true
	case topology.Relay:
		limit := standInHeartbeats * r.service.options.Heartbeat
		return unfed > r.service.jitter(limit, jitterShare)
	default:
		return false
	}
}

// watch runs the source until the node is off duty or the context ends.
func (r *sourceRunner) watch(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer cancel()
		r.waitForRelief(ctx)
	})
	pause := sourcePauseMin
	for ctx.Err() == nil {
		if r.once(ctx) {
			pause = sourcePauseMin
		}
		if !wait.For(ctx, r.service.jitter(pause, jitterShare)) {
			return
		}
		pause = min(2*pause, sourcePauseMax)
	}
}

// waitForRelief returns when the node need not watch any more.
func (r *sourceRunner) waitForRelief(ctx context.Context) {
	for ctx.Err() == nil {
		role := r.service.plan.Load().Role
		if role == topology.Leaf || role == topology.Relay && r.service.hasFeed() {
			return
		}
		wait.For(ctx, r.service.jitter(r.service.options.Heartbeat, jitterShare))
	}
}

// once runs the source once and reports whether it read anything.
func (r *sourceRunner) once(ctx context.Context) bool {
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

// emit takes one state from the store.
func (r *sourceRunner) emit(key string, epoch, sequence uint64, body []byte) {
	if err := check(key, body); err != nil {
		r.service.log.Warnf("%v", err)
		return
	}
	it := item.New(key, epoch, sequence, body)
	outcome := r.service.apply(it, nil)
	r.mu.Lock()
	r.emitted = true
	if outcome != item.Stale {
		delete(r.behind, key)
	}
	r.mu.Unlock()
	if outcome == item.Stale {
		r.noteBehind(it)
	}
}

// noteBehind records an older state that the store offered. The node keeps
// what it has; status and the log show the operator that the store went back.
func (r *sourceRunner) noteBehind(offered item.Item) {
	have, _ := r.service.Snapshot().Get(offered.Key)
	r.mu.Lock()
	_, known := r.behind[offered.Key]
	r.behind[offered.Key] = StaleOffer{
		Key:             offered.Key,
		OfferedEpoch:    offered.Epoch,
		OfferedSequence: offered.Sequence,
		ActiveEpoch:     have.Epoch,
		ActiveSequence:  have.Sequence,
	}
	r.mu.Unlock()
	if !known {
		r.service.log.Warnf("spread: store has %s at %d.%d, in force is %d.%d", offered.Key, offered.Epoch, offered.Sequence, have.Epoch, have.Sequence)
	}
}

// lastRead returns when the source last read the store. Of a source that does
// not tell, a run that has read something counts as reading until it fails.
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

// healthy reports whether the source has read the store in its present run.
func (r *sourceRunner) healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running && r.emitted
}

// hasFeed reports whether an upstream leads to the store.
func (s *Service) hasFeed() bool {
	for _, f := range s.follows {
		if _, fed := f.state(); fed {
			return true
		}
	}
	return false
}

// fed reports whether the node leads to the store: through its own source or
// through an upstream. A watcher that knows no other is as near as one can be.
func (s *Service) fed() bool {
	plan := s.plan.Load()
	if plan.Role == topology.Watcher && len(plan.Watchers) == 0 {
		return true
	}
	return s.source.healthy() || s.hasFeed()
}
