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

// run obtains a permission and the claim of the key, then sends a request until
// it has a result.
func (p *Proxy) run(ctx context.Context, q *request) response {
	place := q.place
	if place == nil {
		return refusalResponse(refuse(result.NoTarget))
	}
	q.service.state.retryBudget.Deposit(q.service.service.RetryBudget)
	permission, refused := p.permit(ctx, q, place)
	if refused != nil {
		place.countRefusal(refused.code)
		return refusalResponse(refused)
	}
	claim, refused := p.claimKey(ctx, q)
	if refused != nil {
		permission.cancel()
		return refusalResponse(refused)
	}
	q.claimed = true
	resp := p.sendWithRetries(ctx, q, permission)
	if resp.answer == nil && isNotRun(resp.refusal.code) {
		p.releaseKey(ctx, claim)
	}
	return resp
}

// sendWithRetries makes the attempts. A later attempt that did not run never
// replaces one that ran or may have run.
func (p *Proxy) sendWithRetries(ctx context.Context, q *request, permission permission) response {
	var best attempt
	var skip balance.Skip
	for n := 1; ; n++ {
		skip = skip.With(permission.index)
		wait := q.attemptTimeoutFor(permission.place, skip)
		last := p.attempt(ctx, q, permission, wait.deadline)
		best = q.bestAttempt(best, last)
		if last.final(q.class) || n == maxAttempts {
			q.returnRetry(wait)
			return best.response()
		}
		if !wait.reserved && !q.takeRetry() {
			return best.response()
		}
		next, ok := p.permitRetry(ctx, q, permission.place, skip, n)
		if !ok {
			q.returnRetry(attemptTimeout{reserved: true})
			return best.response()
		}
		permission = next
	}
}

// permitRetry obtains a permission at another target of the same place within
// the time left.
func (p *Proxy) permitRetry(ctx context.Context, q *request, place *placeState, skip balance.Skip, n int) (permission, bool) {
	backoff := retry.Backoff(n)
	if time.Until(q.latestSend(place)) < backoff || !wait.For(ctx, backoff) {
		return permission{}, false
	}
	next, short, _ := place.acquire(q.class, skip)
	if short == slotShortage && q.class == model.Idempotent {
		var refused *refusal
		next, refused = p.wait(ctx, q, place, q.latestSend(place))
		if refused == nil {
			short = noShortage
		}
	}
	if short != noShortage {
		return permission{}, false
	}
	q.service.state.metrics[q.class].retries.Inc(1)
	return next, true
}

func isNotRun(code result.Code) bool {
	return result.InfoOf(code).Outcome == result.NotRun
}

// retryable reports whether a request with this status may succeed at another
// target.
func retryable(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// queuesExcess reports whether the account queues traffic above a grant.
func (q *request) queuesExcess() bool {
	return q.account.account.Excess == model.ExcessWait
}
