package proxy

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/kept"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// maxAsk bounds the wait for another node's kept answer. It is enough for a new
// connection between regions. A node that is paused or cut off would else hold
// a repeat until its deadline for an answer that is not coming.
const maxAsk = time.Second

// KeptAnswer returns the answer that this node keeps for a request which came
// again through another node. Code: result.OK with the answer, result.KeyReused
// for other work under the key, else result.DuplicateKey. It waits while the
// request is in hand.
func (p *Proxy) KeptAnswer(ctx context.Context, key keys.Key, print kept.Print) (*kept.Answer, result.Code) {
	if p.kept == nil {
		return nil, result.DuplicateKey
	}
	entry := p.kept.Find(key)
	if entry == nil {
		return nil, result.DuplicateKey
	}
	answer, code, dropped := answerFrom(ctx, entry, print)
	if dropped {
		return nil, result.DuplicateKey
	}
	return answer, code
}

// ask returns the end of a request whose key was recorded by another node: the
// answer that this one keeps, or the refusal as it was.
//
// Nodes never wait for each other in a circle: a request waits here only for the
// one that recorded the key, and that one waits for nobody.
func (p *Proxy) ask(ctx context.Context, q *request, print kept.Print, duplicate ending) ending {
	if p.options.FetchAnswer == nil || p.options.Keys == nil {
		return duplicate
	}
	ctx, cancel := context.WithTimeout(ctx, maxAsk)
	defer cancel()
	key := q.keyOf()
	holder, known := p.options.Keys.Holder(ctx, key)
	if !known || holder == p.options.Node.VM {
		return duplicate
	}
	answer, code := p.options.FetchAnswer(ctx, holder, key, print)
	if answer == nil {
		return refused(refuse(code))
	}
	return p.repeated(q, answer)
}
