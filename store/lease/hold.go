package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

var logger = logrus.StandardLogger()

// hold keeps the lease alive until the term ends.
func (e *Election) hold(ctx context.Context, s *session) {
	t := s.term
	e.current.Store(t)
	e.options.OnWon(t.epoch)
	wait := e.interval()
	for e.wait(ctx, min(wait, t.remaining())) && t.valid() {
		err := e.keepAlive(ctx, s)
		if errors.Is(err, store.ErrLeaseGone) {
			break
		}
		wait = e.interval()
		if err != nil {
			wait = e.retryInterval()
		}
	}
	t.ended.Store(true)
	e.options.OnLost(t.epoch)
}

func (e *Election) keepAlive(ctx context.Context, s *session) error {
	sent := e.watch.now()
	ctx, cancel := context.WithTimeout(ctx, min(e.callTimeout(), s.term.remaining()))
	defer cancel()
	if err := e.options.KV.KeepAlive(ctx, s.id); err != nil {
		return err
	}
	if !s.term.extend(sent) {
		return store.ErrLeaseGone
	}
	return nil
}

// safeFor is how long the holder trusts a lease after sending the call that
// extended it.
func (e *Election) safeFor() time.Duration {
	return e.options.TTL - e.options.Margin
}

func (e *Election) interval() time.Duration {
	return e.options.TTL / keepAliveShare
}

func (e *Election) callTimeout() time.Duration {
	return e.interval()
}

func (e *Election) retryInterval() time.Duration {
	return e.interval() / 4
}

// pause waits between two attempts, with jitter so that candidates that
// failed together do not call together.
func (e *Election) pause(ctx context.Context) {
	longest := e.interval()
	e.wait(ctx, longest/2+rand.N(longest/2+1))
}

// wait reports whether the time passed before the context ended.
func (e *Election) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
