// Package paced keeps the calls of one client of the store below its rate and, after
// failures, at a random distance from each other. A call marked by store.WithFailFast is
// refused at once where another would wait.
package paced

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// KV implements store.KV by another one. It is safe for use by several goroutines.
type KV struct {
	inner   store.KV
	options Options
	pacer   *pacer
}

var _ store.KV = (*KV)(nil)

// New paces the calls to inner.
func New(inner store.KV, options Options) (*KV, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	return &KV{inner: inner, options: options, pacer: newPacer(options)}, nil
}

// call is one kind of call.
type call struct {
	timeout time.Duration
	urgent  bool
}

// run makes one call when it is its turn.
func (k *KV) run(ctx context.Context, c call, do func(context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	t, err := k.turn(callCtx, c)
	if err != nil {
		return errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	err = do(callCtx)
	k.report(ctx, t.round, err)
	k.pacer.endProbe(t)
	return err
}

// turn returns when the call may be sent, or an error when it must not be.
func (k *KV) turn(ctx context.Context, c call) (turn, error) {
	if store.IsFailFast(ctx) {
		return k.pacer.admit()
	}
	return k.pacer.wait(ctx, c.urgent)
}

// report tells the pacer how the call went. A call that its caller gave up, or that
// was too large to be sent, says nothing about the service.
func (k *KV) report(ctx context.Context, round uint64, err error) {
	failed := errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrUnavailable)
	switch {
	case errors.Is(err, store.ErrTooLarge):
	case !failed:
		k.pacer.succeeded()
	case !errors.Is(ctx.Err(), context.Canceled):
		k.pacer.failed(round)
	}
}
