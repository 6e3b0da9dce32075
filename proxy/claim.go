package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// releaseTime bounds how long the answer to a request that was not run waits
// for its key to be freed.
const releaseTime = 250 * time.Millisecond

// claimKey records the key of a non-idempotent request, just before it is
// sent: one refused earlier costs the store nothing.
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
	return claim, p.unrecorded(ctx, q, claim, err)
}

// unrecorded refuses a request whose key is not known to be recorded.
func (p *Proxy) unrecorded(ctx context.Context, q *request, claim keys.Claim, err error) *refusal {
	code := result.KeyRecordFailed
	if errors.Is(err, keys.ErrUnknown) {
		code = result.KeyOutcomeUnknown
		p.releaseKey(ctx, claim)
	}
	if ctx.Err() != nil {
		return refuse(p.endedCode(ctx))
	}
	return refuse(code)
}

// claimLocally serves a request during an outage of the store. A repeat through
// the same node is still refused.
func (p *Proxy) claimLocally(claim keys.Claim) (keys.Claim, *refusal) {
	if p.options.Keys != nil && !p.options.Keys.ClaimLocally(claim.Key) {
		return keys.Claim{}, refuse(result.DuplicateKey)
	}
	return claim, nil
}

func (p *Proxy) recordKey(ctx context.Context, q *request) (keys.Claim, error) {
	key := q.keyOf()
	if p.options.Keys == nil {
		return keys.Claim{Key: key}, keys.ErrUnavailable
	}
	return p.options.Keys.Record(ctx, key)
}

// releaseKey frees the key of a request that certainly did not run, so that
// the caller may send it again. It outlives the request's own deadline.
func (p *Proxy) releaseKey(ctx context.Context, claim keys.Claim) {
	if claim.Key.Text == "" || p.options.Keys == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	p.options.Keys.Release(ctx, claim)
}
