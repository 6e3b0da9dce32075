package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/store"
)

var logger = logrus.StandardLogger()

// hold keeps the lease alive until the term ends.
func (e *Election) hold(ctx context.Context, s *session) {
	t := s.term
	e.current.Store(t)
	e.options.OnWon(t.epoch)
	pause := e.interval()
	for wait.For(ctx, min(pause, t.remaining())) && t.valid() {
		err := e.keepAlive(ctx, s)
		if errors.Is(err, store.ErrLeaseGone) {
			break
		}
		pause = e.interval()
		if err != nil {
			pause = e.retryInterval()
		}
	}
	t.ended.Store(true)
	e.options.OnLost(t.epoch)
}

func (e *Election) keepAlive(ctx context.Context, s *session) error {
	sent := e.clock.now()
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

// retryDivisor is the keep-alive interval over the delay before a retry.
const retryDivisor = 4

// validity is how long the holder relies on a lease after it sent the call that
// last extended it.
func (e *Election) validity() time.Duration {
	return e.options.TTL - e.options.Margin
}

func (e *Election) interval() time.Duration {
	return e.options.TTL / keepAliveDivisor
}

func (e *Election) callTimeout() time.Duration {
	return e.interval()
}

func (e *Election) retryInterval() time.Duration {
	return e.interval() / retryDivisor
}

// backOff waits between two attempts, with jitter so that candidates that
// failed together do not retry together.
func (e *Election) backOff(ctx context.Context) {
	longest := e.interval()
	wait.For(ctx, longest/2+rand.N(longest/2+1))
}
