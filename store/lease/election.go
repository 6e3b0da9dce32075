// Package lease elects one holder of a key, bound to a lease of the key-value
// service. The revision of the write that took the key is the holder's epoch,
// a fencing token: each later holder has a higher one.
//
// Held is a statement of the past. Between Held and the act that follows the
// holder may be paused for any time, so every receiver must check the epoch.
package lease

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// Election campaigns for one key and holds it.
type Election struct {
	options Options
	watch   stopwatch
	current atomic.Pointer[term]

	running    atomic.Bool
	resignOnce sync.Once
	resigned   chan struct{}
	finished   chan struct{}
}

// New returns an election that is not running yet.
func New(options Options) (*Election, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	return &Election{
		options:  options,
		watch:    newStopwatch(options.Clock),
		resigned: make(chan struct{}),
		finished: make(chan struct{}),
	}, nil
}

// Held returns the epoch while the key is held. It takes no lock and makes no
// call, so it may be asked before each act.
func (e *Election) Held() (epoch uint64, ok bool) {
	t := e.current.Load()
	if t == nil || e.isResigned() || !t.valid() {
		return 0, false
	}
	return t.epoch, true
}

func (e *Election) isResigned() bool {
	select {
	case <-e.resigned:
		return true
	default:
		return false
	}
}

// ErrRunning tells that Run was called twice.
var ErrRunning = errors.New("lease: already running")

// Run campaigns and holds until the context ends or Resign is called; it then
// gives the key back. Losing the key starts a new campaign. It may be called
// once.
func (e *Election) Run(ctx context.Context) error {
	if !e.running.CompareAndSwap(false, true) {
		return ErrRunning
	}
	defer close(e.finished)
	ctx, cancel := e.untilResigned(ctx)
	defer cancel()
	for ctx.Err() == nil {
		s, ok := e.campaign(ctx)
		if !ok {
			continue
		}
		e.hold(ctx, s)
		e.release(ctx, s.id)
	}
	return nil
}

// Resign ends the term at once, gives the key back and waits until Run has
// returned or the context ends. Held is false before the service hears of it.
func (e *Election) Resign(ctx context.Context) error {
	e.resignOnce.Do(func() { close(e.resigned) })
	if !e.running.Load() {
		return nil
	}
	select {
	case <-e.finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Election) untilResigned(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-e.resigned:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// release ends the lease at the service, so that the key is free at once. If
// the call fails the lease lapses by itself.
func (e *Election) release(ctx context.Context, id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.callTimeout())
	defer cancel()
	if err := e.options.KV.Revoke(ctx, id); err != nil {
		logger.WithError(err).WithField("key", e.options.Key).Info("lease: could not revoke, it will lapse")
	}
}
