package proxy

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/kept"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// peerAnswerTimeout bounds the wait for an answer kept by another node, so that
// an unreachable node does not hold a repeat until its deadline. It allows for
// a new connection between regions.
const peerAnswerTimeout = time.Second

// KeptAnswer returns the answer that this node keeps for a request that was
// repeated through another node. The code is result.OK with an answer,
// result.KeyReused if the key belongs to a different request, and
// result.DuplicateKey otherwise. It waits while the original request is in
// flight.
func (p *Proxy) KeptAnswer(ctx context.Context, key keys.Key, fingerprint kept.Fingerprint) (*kept.Response, result.Code) {
	if p.kept == nil {
		return nil, result.DuplicateKey
	}
	entry := p.kept.Find(key)
	if entry == nil {
		return nil, result.DuplicateKey
	}
	answer, code, dropped := awaitAnswer(ctx, entry, fingerprint)
	if dropped {
		return nil, result.DuplicateKey
	}
	return answer, code
}

// fetchPeerAnswer returns the response to a request whose key another node
// recorded: the answer kept there, or a refusal.
//
// Nodes cannot deadlock on each other: a request waits here only for the one
// that recorded the key, which does not wait for other nodes' answers.
func (p *Proxy) fetchPeerAnswer(ctx context.Context, q *request, fingerprint kept.Fingerprint, duplicate response) response {
	if p.options.FetchAnswer == nil || p.options.Keys == nil {
		return duplicate
	}
	ctx, cancel := context.WithTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	key := q.idempotencyKey()
	holder, known := p.options.Keys.Owner(ctx, key)
	if !known || holder == p.options.Node.VM {
		return duplicate
	}
	answer, code := p.options.FetchAnswer(ctx, holder, key, fingerprint)
	if answer == nil {
		return refusalResponse(refuse(code))
	}
	return p.replay(q, answer)
}
