package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// ServeHTTP implements http.Handler. Every request ends in exactly one
// numbered result.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := callerOf(w)
	if !p.gate.Enter() {
		r.Close = true
		writeRefusal(w, refuse(result.NodeLeaving))
		return
	}
	defer p.gate.Leave()
	r.Close = r.Close || p.parting.Load()
	q, refused := p.parse(r, from)
	if refused != nil {
		p.finish(w, q, refused)
		return
	}
	p.admit(w, r, q)
}

// admit holds a place among the requests in hand and the body's memory while
// the request is served.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, q *request) {
	if !q.account.inFlight.Take(1) {
		p.finish(w, q, refuse(result.QueueFull))
		return
	}
	defer q.account.inFlight.Give(1)
	if refused := q.loadBody(r); refused != nil {
		p.finish(w, q, refused)
		return
	}
	defer q.dropBody()
	q.prepare(r)
	ctx, cancel := p.requestContext(q.from, r, q.deadline)
	defer cancel()
	end := p.answerOf(ctx, q)
	// A caller that keeps its connection to a leaving node would lose the
	// request it sends on it in the moment in which the node exits.
	r.Close = r.Close || p.parting.Load() || p.gate.Closed()
	if end.answer == nil {
		p.finish(w, q, end.refusal)
		return
	}
	p.deliver(w, q, end)
}

// answerOf runs a request, or finds how one with the same key ended.
func (p *Proxy) answerOf(ctx context.Context, q *request) ending {
	if q.key == "" || p.kept == nil || q.coming != nil {
		// A body that still comes cannot be compared with another one.
		return p.run(ctx, q)
	}
	return p.runOnce(ctx, q)
}

// requestContext ends with the deadline, when the caller goes away and when
// the proxy is closed.
func (p *Proxy) requestContext(from caller, r *http.Request, deadline time.Time) (context.Context, func()) {
	ctx, cancel := context.WithDeadline(p.bases.one(), deadline)
	stopWatch := from.WatchClose(r, cancel)
	return ctx, func() {
		stopWatch()
		cancel()
	}
}

// prepare fills what is sent to the target.
func (q *request) prepare(r *http.Request) {
	q.remote = r.RemoteAddr
	q.out.Method = r.Method
	q.out.URI = r.URL.RequestURI()
	q.out.Header = r.Header
	q.out.Deadline = q.deadline
	q.out.MaxResponseBytes = q.service.service.MaxAnswerBytes
	if q.out.MaxResponseBytes <= 0 {
		q.out.MaxResponseBytes = defaultAnswerBytes
	}
	q.out.Memory = q.account.bytes
}

// finish answers without a target's answer and counts the result.
func (p *Proxy) finish(w http.ResponseWriter, q *request, refused *refusal) {
	q.tellPlace(w.Header())
	writeRefusal(w, refused)
	p.record(q, refused.code)
}

// deliver passes a target's whole answer on.
func (p *Proxy) deliver(w http.ResponseWriter, q *request, end ending) {
	writeAnswer(w, end)
	q.dropAnswer(end.answer)
	p.record(q, result.OK)
}

func (p *Proxy) record(q *request, code result.Code) {
	if q.service == nil {
		return
	}
	q.service.state.metrics[q.class].record(code, time.Since(q.arrived))
}
