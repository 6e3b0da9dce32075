// Package paced limits the call rate of one store client and backs off with
// jitter after failures. A call whose context was made by store.WithFailFast is
// rejected instead of delayed.
package paced

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// KV wraps a store.KV. It is safe for concurrent use.
type KV struct {
	inner   store.KV
	options Options
	pacer   *pacer
}

var _ store.KV = (*KV)(nil)

// New returns a KV that limits the calls to inner.
func New(inner store.KV, options Options) (*KV, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	return &KV{inner: inner, options: options, pacer: newPacer(options)}, nil
}

type callOptions struct {
	timeout time.Duration
	urgent  bool
}

// do calls fn once the rate limit and the backoff permit it.
func (k *KV) do(ctx context.Context, c callOptions, fn func(context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	granted, err := k.waitOrReject(callCtx, c)
	if err != nil {
		return errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	err = fn(callCtx)
	k.recordResult(ctx, granted.round, err)
	k.pacer.endProbe(granted)
	return err
}

// waitOrReject returns a permit for one call, or an error when it must not be sent.
func (k *KV) waitOrReject(ctx context.Context, c callOptions) (permit, error) {
	if store.IsFailFast(ctx) {
		return k.pacer.tryAcquire()
	}
	return k.pacer.acquire(ctx, c.urgent)
}

// recordResult updates the backoff. A call that its caller canceled, or whose
// value was too large to send, says nothing about the service.
func (k *KV) recordResult(ctx context.Context, round uint64, err error) {
	failed := errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrUnavailable)
	switch {
	case errors.Is(err, store.ErrTooLarge):
	case !failed:
		k.pacer.recordSuccess()
	case !errors.Is(ctx.Err(), context.Canceled):
		k.pacer.recordFailure(round)
	}
}
