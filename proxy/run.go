package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/proxy/balance"
	"github.com/yuccaroute/yuccaroute/proxy/retry"
)

// maxAttempts bounds how often one request is sent.
const maxAttempts = 3

// run sends a request until it has ended.
func (p *Proxy) run(ctx context.Context, q *request) ending {
	place := q.place
	if place == nil {
		return refused(refuse(result.NoTarget))
	}
	q.service.state.budget.Fresh(q.service.service.RetryBudget)
	permission, short := p.permit(ctx, q, place)
	if short != nil {
		place.countRefusal(short.code)
		return refused(short)
	}
	claim, short := p.claimKey(ctx, q)
	if short != nil {
		permission.cancel()
		return refused(short)
	}
	q.claimed = true
	end := p.sendUntilDone(ctx, q, permission)
	if end.answer == nil && isNotRun(end.refusal.code) {
		p.releaseKey(ctx, claim)
	}
	return end
}

// sendUntilDone makes the attempts. What was known to have run, or may have
// run, is never forgotten over a later attempt that did not run.
func (p *Proxy) sendUntilDone(ctx context.Context, q *request, permission permission) ending {
	var best attempt
	var skip balance.Skip
	for n := 1; ; n++ {
		skip = skip.With(permission.index)
		wait := q.patienceFor(permission.place, skip)
		last := p.attempt(ctx, q, permission, wait.deadline)
		best = q.better(best, last)
		if last.final(q.class) || n == maxAttempts {
			q.unused(wait)
			return best.ending()
		}
		if !wait.reserved && !q.takeRetry() {
			return best.ending()
		}
		next, ok := p.permitAgain(ctx, q, permission.place, skip, n)
		if !ok {
			q.unused(patience{reserved: true})
			return best.ending()
		}
		permission = next
	}
}

// permitAgain finds another target of the same place for a request that is sent
// once more, within the time left.
func (p *Proxy) permitAgain(ctx context.Context, q *request, place *placeState, skip balance.Skip, n int) (permission, bool) {
	backoff := retry.Backoff(n)
	if time.Until(q.leaveBy(place)) < backoff || !wait.For(ctx, backoff) {
		return permission{}, false
	}
	next, short, _ := place.acquire(q.class, skip)
	if short == shortSlot && q.class == model.Idempotent {
		var refused *refusal
		next, refused = p.wait(ctx, q, place, q.leaveBy(place))
		if refused == nil {
			short = shortNone
		}
	}
	if short != shortNone {
		return permission{}, false
	}
	q.service.state.metrics[q.class].retries.Inc(1)
	return next, true
}

func isNotRun(code result.Code) bool {
	return result.InfoOf(code).Outcome == result.NotRun
}

// retryable reports whether another target may do better than this status.
func retryable(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// excessWaits reports whether the account wants traffic above a grant to wait.
func (q *request) excessWaits() bool {
	return q.account.account.Excess == model.ExcessWait
}
