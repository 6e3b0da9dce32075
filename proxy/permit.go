package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/queue"
)

// permit gets the permission to send a request to a place, waiting for it as
// far as the deadline and the account permit.
func (p *Proxy) permit(ctx context.Context, q *request, place *placeState) (permission, *refusal) {
	if time.Until(q.deadline) <= place.wire() {
		// The answer could not be back in time; an order sent all the same
		// would end as unknown.
		return permission{}, refuse(result.DeadlineBeforeSend)
	}
	if place.line.Waiting() == 0 {
		got, short, wait := place.acquire(q.class, 0)
		if short == shortNone {
			return got, nil
		}
		if short == shortGrant && !q.excessWaits() {
			return permission{}, refuseUntil(result.NoCapacity, wait)
		}
	}
	if place.targets.Load().set.Usable(p.now()) == 0 {
		return permission{}, refuse(q.noTargetCode())
	}
	// The line forms for want of slots. Without this check it would let
	// requests wait for the grant too, though the account wants them refused.
	if wait := place.bucket.Wait(time.Now()); wait > 0 && !q.excessWaits() {
		return permission{}, refuseUntil(result.NoCapacity, wait)
	}
	return p.wait(ctx, q, place)
}

// noTargetCode names why a place without a target was chosen: the plan may have
// left it already and the move cap still sends requests there.
func (q *request) noTargetCode() result.Code {
	if q.account.held {
		return result.MoveHeld
	}
	return result.NoTarget
}

// wait queues a request until shortly before it would be answered too late.
func (p *Proxy) wait(ctx context.Context, q *request, place *placeState) (permission, *refusal) {
	leaveBy := q.deadline.Add(-place.typicalLatency())
	got, err := place.line.Acquire(ctx, q.class, leaveBy)
	if err == nil {
		return got, nil
	}
	if errors.Is(err, queue.ErrLate) {
		return permission{}, refuseUntil(place.lateCode(), place.line.Expected(q.class))
	}
	return permission{}, refuse(p.endedCode(ctx))
}

// endedCode names why a request's context ended before anything was sent.
func (p *Proxy) endedCode(ctx context.Context) result.Code {
	switch {
	case p.base.Err() != nil:
		return result.NodeLeaving
	case errors.Is(ctx.Err(), context.Canceled):
		return result.CallerGone
	default:
		return result.DeadlineBeforeSend
	}
}
