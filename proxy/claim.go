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
	if ctx.Err() != nil {
		return claim, refuse(endedCode(ctx))
	}
	if q.account.account.OutageOrders == model.OutageServe {
		return keys.Claim{}, nil
	}
	if errors.Is(err, keys.ErrUnknown) {
		return claim, refuse(result.KeyOutcomeUnknown)
	}
	return claim, refuse(result.KeyRecordFailed)
}

func (p *Proxy) recordKey(ctx context.Context, q *request) (keys.Claim, error) {
	if p.options.Keys == nil {
		return keys.Claim{}, keys.ErrUnavailable
	}
	return p.options.Keys.Record(ctx, keys.Key{
		Account: q.account.account.Name,
		Service: q.service.service.Name,
		Text:    q.key,
	})
}

// releaseKey frees the key of a request that certainly did not run, so that
// the caller may send it again. It outlives the request's own deadline.
func (p *Proxy) releaseKey(ctx context.Context, q *request, claim keys.Claim) {
	if claim.Revision == 0 || p.options.Keys == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	p.options.Keys.Release(ctx, claim)
}
