package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/queue"
)

// maxPacingDelay is how long a request may wait for the node's grant although
// its account refuses excess traffic. It absorbs bursts of requests below the
// grant.
const maxPacingDelay = 25 * time.Millisecond

// permit obtains a permission to send a request to a place and waits for it as
// long as the deadline and the account allow.
func (p *Proxy) permit(ctx context.Context, q *request, place *placeState) (permission, *refusal) {
	if time.Until(q.deadline) <= place.networkRTT() {
		// The answer could not arrive in time, and a non-idempotent request
		// would end with an unknown outcome.
		return permission{}, refuse(result.DeadlineBeforeSend)
	}
	if place.queue.Waiting() == 0 {
		got, short, _ := place.acquire(q.class, 0)
		if short == noShortage {
			return got, nil
		}
	}
	if !place.hasTarget() {
		return permission{}, refuse(q.noTargetCode())
	}
	latest := q.latestSend(place)
	wait := place.bucket.Wait(p.options.Clock())
	if wait > 0 {
		place.reportShortage(wait + place.queue.Expected(q.class))
	}
	if wait > 0 && !q.queuesExcess() {
		if wait > maxPacingDelay {
			return permission{}, refuseWithRetryAfter(result.NoCapacity, place.retryAfter(wait))
		}
		latest = earlier(latest, time.Now().Add(maxPacingDelay))
	}
	return p.wait(ctx, q, place, latest)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// noTargetCode returns why a place without a target was chosen: the plan may
// have left the place while the move cap still sends requests there.
func (q *request) noTargetCode() result.Code {
	if q.account.moveCapped {
		return result.MoveHeld
	}
	return result.NoTarget
}

// latestSend returns the latest time to send a request after a wait. If it is
// sent later, an answer before the deadline is unlikely.
func (q *request) latestSend(place *placeState) time.Time {
	return q.deadline.Add(-place.reservedForAnswer(time.Until(q.deadline)))
}

// wait queues a request until the latest time to send it.
func (p *Proxy) wait(ctx context.Context, q *request, place *placeState, latest time.Time) (permission, *refusal) {
	got, err := place.queue.Acquire(ctx, q.class, latest)
	if err == nil {
		return got, nil
	}
	if errors.Is(err, queue.ErrLate) {
		if !place.hasTarget() {
			return permission{}, refuse(q.noTargetCode())
		}
		return permission{}, refuseWithRetryAfter(place.queueTimeoutCode(), place.retryAfter(place.queue.Expected(q.class)))
	}
	return permission{}, refuse(p.contextErrorCode(ctx))
}

// contextErrorCode returns why a request's context ended before anything was
// sent.
func (p *Proxy) contextErrorCode(ctx context.Context) result.Code {
	switch {
	case p.baseContext.Err() != nil:
		return result.NodeLeaving
	case errors.Is(ctx.Err(), context.Canceled):
		return result.CallerGone
	default:
		return result.DeadlineBeforeSend
	}
}
