package proxy

import (
	"context"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/kept"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// runOnce runs a request with a key unless one with the same key ran or is in
// hand at this node. A repeat takes no place, grant, slot or store call.
func (p *Proxy) runOnce(ctx context.Context, q *request) ending {
	print := kept.PrintOf(&q.out, q.remote)
	for {
		entry, first := p.kept.Begin(q.keyOf(), print)
		if first {
			end := p.run(ctx, q)
			if !q.claimed && end.duplicate() {
				end = p.ask(ctx, q, print, end)
			}
			p.keep(entry, q, end)
			return end
		}
		if end, known := p.repeat(ctx, q, entry, print); known {
			return end
		}
	}
}

// repeat returns the end of a request whose key another one has, unless that
// one turns out not to have run.
func (p *Proxy) repeat(ctx context.Context, q *request, entry *kept.Entry, print kept.Print) (end ending, known bool) {
	answer, code, dropped := answerFrom(ctx, entry, print)
	if dropped {
		return ending{}, false
	}
	if answer == nil {
		return refused(refuse(code)), true
	}
	return p.repeated(q, answer), true
}

// answerFrom returns the answer of an entry's request to one with a print, or the
// code to refuse it with; dropped tells that the entry's did not run.
//
// Guard against a foreign answer: it shows as a dealer who reads the
// confirmation of another order, or of another dealer who chose the same key.
// The answer is given only for the same method, path, query and body, from the
// same address and with the same fields; no target could tell the two apart.
//
// It waits for a request in hand because that one's answer is on its way; if
// its own deadline comes first, or the other ends without an answer, it is told
// that at once.
func answerFrom(ctx context.Context, entry *kept.Entry, print kept.Print) (answer *kept.Answer, code result.Code, dropped bool) {
	if entry.Print.Work != print.Work {
		return nil, result.KeyReused, false
	}
	if entry.Print.Sender != print.Sender {
		return nil, result.DuplicateKey, false
	}
	answer, dropped, err := entry.Wait(ctx)
	if err != nil || answer == nil {
		// Never "not run" after an error: the other request may run.
		return nil, result.DuplicateKey, dropped
	}
	return answer, result.OK, false
}

// repeated is the end of a request that gets the answer to an earlier sending.
func (p *Proxy) repeated(q *request, answer *kept.Answer) ending {
	q.service.state.metrics[q.class].keptAnswers.Inc(1)
	return ending{answer: &answer.Response, place: answer.Place, target: answer.Target}
}

// keep ends the entry of a request. One that did not get the right to run is
// not the request that its key stands for: nobody may be compared with it, and a
// repeat of one whose caller left while it waited must not be refused.
func (p *Proxy) keep(entry *kept.Entry, q *request, end ending) {
	switch {
	case end.answer != nil:
		p.kept.End(entry, &kept.Answer{Response: *end.answer, Place: end.place, Target: end.target})
	case !q.claimed || isNotRun(end.refusal.code):
		p.kept.Drop(entry)
	default:
		p.kept.End(entry, nil)
	}
}

func (q *request) keyOf() keys.Key {
	return keys.Key{
		Account: q.account.account.Name,
		Service: q.service.service.Name,
		Text:    q.key,
	}
}
