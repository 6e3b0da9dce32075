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

// pacer keeps calls below the client's rate and, after failures, at a random
// distance from each other. Without the random distance all nodes would call
// at the same moment when the service returns, and take it down again.
type pacer struct {
	limiter *rate.Limiter
	first   time.Duration
	longest time.Duration

	mu sync.Mutex
	// resume is when calls may be sent again.
	resume   time.Time
	failures int
	// probing is true while a prompt call finds out whether a service that
	// failed answers again.
	probing bool
	// round grows with each backoff. Calls that were under way together and
	// fail together carry the same round and count as one failure.
	round uint64
}

func newPacer(o Options) *pacer {
	return &pacer{
		limiter: rate.NewLimiter(rate.Limit(o.CallsPerSecond), o.Burst),
		first:   o.BackoffFirst,
		longest: o.BackoffMax,
	}
}

// turn permits one call.
type turn struct {
	// round is what a failure of the call is reported under.
	round uint64
	// probe tells that the call finds out whether the service is back; others
	// wait for its end.
	probe bool
}

// wait returns when a call may be sent, or an error when the context ends
// first.
func (p *pacer) wait(ctx context.Context, urgent bool) (turn, error) {
	for {
		round, pause := p.pause()
		if pause <= 0 {
			return turn{round: round}, p.takeTurn(ctx, urgent)
		}
		if !wait.For(ctx, pause) {
			return turn{}, ctx.Err()
		}
	}
}

// takeTurn keeps the rate. An urgent call goes at once and is charged to those
// that wait: behind many of them, at a change of many accounts say, the
// keep-alive of a lease would come too late and a healthy holder would lose it.
func (p *pacer) takeTurn(ctx context.Context, urgent bool) error {
	if !urgent {
		return p.limiter.Wait(ctx)
	}
	p.limiter.Reserve()
	return ctx.Err()
}

// errHeldBack tells why a prompt call was not sent.
var errHeldBack = errors.New("paced: the service failed lately or the rate is used up")

// admit returns at once: with a turn for a call that may be sent now, or with
// an error. While the service is failing it lets one call at a time
// through: if it hangs, requests must not all wait for their timeout behind it.
func (p *pacer) admit() (turn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Until(p.resume) > 0 || p.probing || !p.limiter.Allow() {
		return turn{}, errHeldBack
	}
	p.probing = p.failures > 0
	return turn{round: p.round, probe: p.probing}, nil
}

// endProbe lets the next prompt call through, however the probe ended. A call
// that was sent before the service failed is no probe: its end says nothing of
// the probe that another one is making.
func (p *pacer) endProbe(t turn) {
	if !t.probe {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
}

func (p *pacer) pause() (round uint64, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.round, time.Until(p.resume)
}

func (p *pacer) succeeded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
	p.resume = time.Time{}
}

func (p *pacer) failed(round uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if round != p.round {
		return
	}
	p.round++
	p.failures++
	p.resume = time.Now().Add(rand.N(p.bound()) + 1)
}

// bound returns the longest pause after the failures so far.
func (p *pacer) bound() time.Duration {
	bound := p.first
	for i := 1; i < p.failures && bound < p.longest; i++ {
		bound *= 2
	}
	return min(bound, p.longest)
}
