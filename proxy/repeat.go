package proxy

import (
	"context"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/kept"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// runOnce runs a request with a key unless one with the same key has run or is
// in flight on this node. A repeat takes no grant, slot or store call.
func (p *Proxy) runOnce(ctx context.Context, q *request) response {
	fingerprint := kept.FingerprintOf(&q.out, q.remote)
	for {
		entry, first := p.kept.Begin(q.idempotencyKey(), fingerprint)
		if first {
			resp := p.run(ctx, q)
			if !q.claimed && resp.isDuplicate() {
				resp = p.fetchPeerAnswer(ctx, q, fingerprint, resp)
			}
			p.finishEntry(entry, q, resp)
			return resp
		}
		if resp, known := p.awaitOriginal(ctx, q, entry, fingerprint); known {
			return resp
		}
	}
}

// awaitOriginal returns the response to a repeat; known is false if the
// original request did not run.
func (p *Proxy) awaitOriginal(ctx context.Context, q *request, entry *kept.Entry, fingerprint kept.Fingerprint) (resp response, known bool) {
	answer, code, dropped := awaitAnswer(ctx, entry, fingerprint)
	if dropped {
		return response{}, false
	}
	if answer == nil {
		return refusalResponse(refuse(code)), true
	}
	return p.replay(q, answer), true
}

// awaitAnswer waits for the request of an entry and returns its answer, or the
// code to refuse the repeat with. dropped reports that the entry's request did
// not run.
//
// The answer is returned only for the same method, path, query and body from
// the same address with the same headers, so that nobody gets the answer to
// another request by using its key.
func awaitAnswer(ctx context.Context, entry *kept.Entry, fingerprint kept.Fingerprint) (answer *kept.Response, code result.Code, dropped bool) {
	if entry.Fingerprint.Work != fingerprint.Work {
		return nil, result.KeyReused, false
	}
	if entry.Fingerprint.Sender != fingerprint.Sender {
		return nil, result.DuplicateKey, false
	}
	answer, dropped, err := entry.Wait(ctx)
	if err != nil || answer == nil {
		// The outcome is not "not run": the original request may still run.
		return nil, result.DuplicateKey, dropped
	}
	return answer, result.OK, false
}

// replay returns the original answer as the response to a repeat.
func (p *Proxy) replay(q *request, answer *kept.Response) response {
	q.service.state.metrics[q.class].keptAnswers.Inc(1)
	return response{answer: &answer.Response, place: answer.Place, target: answer.Target}
}

// finishEntry completes the entry of a request. The entry of a request that did
// not claim its key or did not run is dropped, so that it neither refuses a
// repeat nor is compared with one.
func (p *Proxy) finishEntry(entry *kept.Entry, q *request, resp response) {
	switch {
	case resp.answer != nil:
		p.kept.End(entry, &kept.Response{Response: *resp.answer, Place: resp.place, Target: resp.target})
	case !q.claimed || isNotRun(resp.refusal.code):
		p.kept.Drop(entry)
	default:
		p.kept.End(entry, nil)
	}
}

func (q *request) idempotencyKey() keys.Key {
	return keys.Key{
		Account: q.account.account.Name,
		Service: q.service.service.Name,
		Text:    q.key,
	}
}
