package paced

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/yuccaroute/yuccaroute/api/wait"
)

// pacer limits the call rate and backs off after failures. The backoff has
// jitter, so that clients do not overload a recovering service by retrying at
// the same time.
type pacer struct {
	limiter        *rate.Limiter
	initialBackoff time.Duration
	maxBackoff     time.Duration

	mu sync.Mutex
	// resumeAt is when the backoff ends.
	resumeAt time.Time
	failures int
	// probing is true while a fail-fast call tests whether the service has
	// recovered.
	probing bool
	// round is incremented at each backoff. Concurrent calls that fail have the
	// same round and count as one failure.
	round uint64
}

func newPacer(o Options) *pacer {
	return &pacer{
		limiter:        rate.NewLimiter(rate.Limit(o.CallsPerSecond), o.Burst),
		initialBackoff: o.BackoffFirst,
		maxBackoff:     o.BackoffMax,
	}
}

// permit allows one call.
type permit struct {
	// round is passed to recordFailure if the call fails.
	round uint64
	// probe marks a call that tests whether the service has recovered; other
	// fail-fast calls are rejected until it ends.
	probe bool
}

// acquire waits until a call may be sent. It returns an error when the context
// ends first.
func (p *pacer) acquire(ctx context.Context, urgent bool) (permit, error) {
	for {
		round, pause := p.backoff()
		if pause <= 0 {
			return permit{round: round}, p.waitForRate(ctx, urgent)
		}
		if !wait.For(ctx, pause) {
			return permit{}, ctx.Err()
		}
	}
}

// waitForRate applies the rate limit. An urgent call does not wait but uses up
// a token: queued behind many other calls, the keep-alive of a lease would come
// too late and a healthy holder would lose it.
func (p *pacer) waitForRate(ctx context.Context, urgent bool) error {
	if !urgent {
		return p.limiter.Wait(ctx)
	}
	p.limiter.Reserve()
	return ctx.Err()
}

var errRejected = errors.New("paced: call rejected: backing off after a failure or rate limit reached")

// tryAcquire returns a permit or an error without waiting. After a failure it
// permits one call at a time until one succeeds, so that calls to an unresponsive
// service do not all wait for their timeout.
func (p *pacer) tryAcquire() (permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Until(p.resumeAt) > 0 || p.probing || !p.limiter.Allow() {
		return permit{}, errRejected
	}
	p.probing = p.failures > 0
	return permit{round: p.round, probe: p.probing}, nil
}

// endProbe allows the next fail-fast call, whatever the result of the probe. It
// ignores calls that are not probes: they may end while another call's probe is
// still running.
func (p *pacer) endProbe(ended permit) {
	if !ended.probe {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
}

func (p *pacer) backoff() (round uint64, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.round, time.Until(p.resumeAt)
}

func (p *pacer) recordSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
	p.resumeAt = time.Time{}
}

func (p *pacer) recordFailure(round uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if round != p.round {
		return
	}
	p.round++
	p.failures++
	p.resumeAt = time.Now().Add(rand.N(p.maxPause()) + 1)
}

// maxPause returns the longest backoff after the failures so far.
func (p *pacer) maxPause() time.Duration {
	pause := p.initialBackoff
	for i := 1; i < p.failures && pause < p.maxBackoff; i++ {
		pause *= 2
	}
	return min(pause, p.maxBackoff)
}
