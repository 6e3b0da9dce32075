package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/queue"
)

// pacingTime is how long a request may wait for the node's grant although its
// account wants excess refused. Requests do not come evenly; without it a node
// with a small grant would refuse those that come close together while it is
// below its grant.
const pacingTime = 25 * time.Millisecond

// permit gets the permission to send a request to a place, waiting for it as
// far as the deadline and the account permit.
func (p *Proxy) permit(ctx context.Context, q *request, place *placeState) (permission, *refusal) {
	if time.Until(q.deadline) <= place.wire() {
		// The answer could not be back in time; an order sent all the same
		// would end as unknown.
		return permission{}, refuse(result.DeadlineBeforeSend)
	}
	if place.line.Waiting() == 0 {
		got, short, _ := place.acquire(q.class, 0)
		if short == shortNone {
			return got, nil
		}
	}
	if !place.hasTarget() {
		return permission{}, refuse(q.noTargetCode())
	}
	leaveBy := q.leaveBy(place)
	wait := place.bucket.Wait(p.options.Clock())
	if wait > 0 {
		place.tellShort(wait + place.line.Expected(q.class))
	}
	if wait > 0 && !q.excessWaits() {
		if wait > pacingTime {
			return permission{}, refuseUntil(result.NoCapacity, place.comeBack(wait))
		}
		leaveBy = earlier(leaveBy, time.Now().Add(pacingTime))
	}
	return p.wait(ctx, q, place, leaveBy)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// noTargetCode names why a place without a target was chosen: the plan may have
// left it already and the move cap still sends requests there.
func (q *request) noTargetCode() result.Code {
	if q.account.held {
		return result.MoveHeld
	}
	return result.NoTarget
}

// leaveBy returns the last moment at which a request may be sent after a wait:
// one sent later has too small a chance of an answer in time.
func (q *request) leaveBy(place *placeState) time.Time {
	return q.deadline.Add(-place.answerTime(time.Until(q.deadline)))
}

// wait queues a request until leaveBy.
func (p *Proxy) wait(ctx context.Context, q *request, place *placeState, leaveBy time.Time) (permission, *refusal) {
	got, err := place.line.Acquire(ctx, q.class, leaveBy)
	if err == nil {
		return got, nil
	}
	if errors.Is(err, queue.ErrLate) {
		if !place.hasTarget() {
			return permission{}, refuse(q.noTargetCode())
		}
		return permission{}, refuseUntil(place.lateCode(), place.comeBack(place.line.Expected(q.class)))
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
