// Package lease elects one holder of a key, bound to a lease of the key-value
// service. The revision of the write that acquired the key is the holder's
// epoch, a fencing token: each later holder has a higher one.
//
// The result of Held may be out of date by the time the holder acts on it, as
// its process can be paused at any point. Every receiver must therefore check
// the epoch.
package lease

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// Election campaigns for one key and keeps the lease alive while it holds it.
type Election struct {
	options Options
	clock   stopwatch
	current atomic.Pointer[term]

	running    atomic.Bool
	resignOnce sync.Once
	resigned   chan struct{}
	finished   chan struct{}
}

// New returns an election; Run starts it.
func New(options Options) (*Election, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	return &Election{
		options:  options,
		clock:    newStopwatch(options.Clock),
		resigned: make(chan struct{}),
		finished: make(chan struct{}),
	}, nil
}

// Held returns the epoch while the key is held. It takes no lock and makes no
// call, so it is cheap enough to call before each operation.
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

// ErrRunning is returned by Run when it was called before.
var ErrRunning = errors.New("lease: Run was called more than once")

// Run campaigns for the key and holds it until the context ends or Resign is
// called, and then releases it. It campaigns again after losing the key. It may
// be called once.
func (e *Election) Run(ctx context.Context) error {
	if !e.running.CompareAndSwap(false, true) {
		return ErrRunning
	}
	defer close(e.finished)
	ctx, cancel := e.cancelOnResign(ctx)
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

// Resign ends the term, releases the key and waits until Run has returned or
// the context ends. Held reports false before the key is released at the service.
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

func (e *Election) cancelOnResign(ctx context.Context) (context.Context, context.CancelFunc) {
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

// release revokes the lease, so that the key is free immediately. If the call
// fails, the lease expires at the service.
func (e *Election) release(ctx context.Context, id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.callTimeout())
	defer cancel()
	if err := e.options.KV.Revoke(ctx, id); err != nil {
		logger.WithError(err).WithField("key", e.options.Key).Info("lease: could not revoke, it will lapse")
	}
}
