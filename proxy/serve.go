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
	r.Close = r.Close || p.keepAlivesDisabled.Load()
	q, refused := p.parse(r, from)
	if refused != nil {
		p.sendRefusal(w, q, refused)
		return
	}
	p.admit(w, r, q)
}

// admit serves a request while it holds its part of the in-flight limit and its
// body's memory.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, q *request) {
	if !q.account.inFlight.Take(1) {
		p.sendRefusal(w, q, refuse(result.QueueFull))
		return
	}
	defer q.account.inFlight.Give(1)
	if refused := q.loadBody(r); refused != nil {
		p.sendRefusal(w, q, refused)
		return
	}
	defer q.releaseBody()
	q.prepare(r)
	ctx, cancel := p.requestContext(q.from, r, q.deadline)
	defer cancel()
	resp := p.respond(ctx, q)
	// A request sent on a kept-alive connection to a leaving node would be lost
	// when the node exits.
	r.Close = r.Close || p.keepAlivesDisabled.Load() || p.gate.Closed()
	if resp.answer == nil {
		p.sendRefusal(w, q, resp.refusal)
		return
	}
	p.sendAnswer(w, q, resp)
}

// respond runs a request, or finds the response to an earlier one with its key.
func (p *Proxy) respond(ctx context.Context, q *request) response {
	if q.key == "" || p.kept == nil || q.partialBody != nil {
		// An incomplete body cannot be compared with another one.
		return p.run(ctx, q)
	}
	return p.runOnce(ctx, q)
}

// requestContext returns a context that ends at the deadline, when the caller
// disconnects and when the proxy is closed.
func (p *Proxy) requestContext(from caller, r *http.Request, deadline time.Time) (context.Context, func()) {
	ctx, cancel := context.WithDeadline(p.parents.random(), deadline)
	stopWatch := from.WatchClose(r, cancel)
	return ctx, func() {
		stopWatch()
		cancel()
	}
}

// prepare fills in the request to the target.
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

func (p *Proxy) sendRefusal(w http.ResponseWriter, q *request, refused *refusal) {
	q.setRefusedPlace(w.Header())
	writeRefusal(w, refused)
	p.record(q, refused.code)
}

func (p *Proxy) sendAnswer(w http.ResponseWriter, q *request, resp response) {
	writeAnswer(w, resp)
	q.releaseAnswer(resp.answer)
	p.record(q, result.OK)
}

func (p *Proxy) record(q *request, code result.Code) {
	if q.service == nil {
		return
	}
	q.service.state.metrics[q.class].record(code, time.Since(q.arrived))
}
