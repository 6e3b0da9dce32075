package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// keyReleaseTimeout bounds how long the response to a request that did not run
// is delayed by the release of its key.
const keyReleaseTimeout = 250 * time.Millisecond

// claimKey records the key of a non-idempotent request just before it is sent,
// so that requests refused earlier cost no store write.
func (p *Proxy) claimKey(ctx context.Context, q *request) (keys.Claim, *refusal) {
	if q.key == "" {
		return keys.Claim{}, nil
	}
	claim, err := p.recordKey(ctx, q)
	if err == nil {
		return claim, nil
	}
	if errors.Is(err, keys.ErrDuplicate) {
		return claim, refuse(result.DuplicateKey)
	}
	if ctx.Err() == nil && q.account.account.OutageOrders == model.OutageServe {
		return p.claimLocally(claim)
	}
	return claim, p.refuseUnrecorded(ctx, q, claim, err)
}

// refuseUnrecorded refuses a request whose key is not known to be recorded.
func (p *Proxy) refuseUnrecorded(ctx context.Context, q *request, claim keys.Claim, err error) *refusal {
	code := result.KeyRecordFailed
	if errors.Is(err, keys.ErrUnknown) {
		code = result.KeyOutcomeUnknown
		p.releaseKey(ctx, claim)
	}
	if ctx.Err() != nil {
		return refuse(p.contextErrorCode(ctx))
	}
	return refuse(code)
}

// claimLocally serves a request during a store outage. Only repeats through
// this node are detected.
func (p *Proxy) claimLocally(claim keys.Claim) (keys.Claim, *refusal) {
	if p.options.Keys != nil && !p.options.Keys.ClaimLocally(claim.Key) {
		return keys.Claim{}, refuse(result.DuplicateKey)
	}
	return claim, nil
}

func (p *Proxy) recordKey(ctx context.Context, q *request) (keys.Claim, error) {
	key := q.idempotencyKey()
	if p.options.Keys == nil {
		return keys.Claim{Key: key}, keys.ErrUnavailable
	}
	return p.options.Keys.Record(ctx, key)
}

// releaseKey releases the key of a request that certainly did not run, so that
// the caller may retry with it. It may outlast the request's deadline.
func (p *Proxy) releaseKey(ctx context.Context, claim keys.Claim) {
	if claim.Key.Text == "" || p.options.Keys == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyReleaseTimeout)
	defer cancel()
	p.options.Keys.Release(ctx, claim)
}
