package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/notrun"
)

// timeoutFailureFactor is how many typical latencies must pass before a timeout
// counts as a failure of the target rather than of a short deadline.
const timeoutFailureFactor = 3

// attempt is the result of sending a request once. The zero value is no
// attempt.
type attempt struct {
	permission permission
	answer     *forward.Response
	code       result.Code
	// evidence is what shows that the request did not run.
	evidence notrun.Evidence
	made     bool
}

// final reports whether the request must not be sent again.
func (a attempt) final(class model.Class) bool {
	if a.answer != nil {
		return class != model.Idempotent || !retryable(a.answer.Status)
	}
	switch a.code {
	case result.DeadlineBeforeSend, result.NodeLeaving, result.CallerGone, result.AnswerTooLarge:
		// Another target would give the same result.
		return true
	}
	return class != model.Idempotent && !a.evidence.Certain()
}

// bestAttempt returns the attempt to report to the caller: the latest one with
// an answer, otherwise one with an unknown outcome before one that did not run,
// because a request that may have run must not be reported as not run. It frees
// an answer that is not used.
func (q *request) bestAttempt(earlier, later attempt) attempt {
	switch {
	case !earlier.made:
		return later
	case later.answer != nil:
		q.releaseAnswer(earlier.answer)
		return later
	case earlier.answer != nil:
		return earlier
	case earlier.evidence.Certain():
		return later
	default:
		return earlier
	}
}

// releaseAnswer frees the buffer memory of an answer.
func (q *request) releaseAnswer(a *forward.Response) {
	if a != nil {
		q.account.bytes.Give(a.ReservedBytes)
	}
}

func (a attempt) response() response {
	if a.answer == nil {
		return refusalResponse(refuse(a.code))
	}
	return response{answer: a.answer, place: a.permission.place.headerValue, target: a.permission.target.headerValue}
}

// attempt sends a request to one target once and gives up at the deadline.
func (p *Proxy) attempt(ctx context.Context, q *request, permission permission, deadline time.Time) attempt {
	a := attempt{permission: permission, made: true}
	if p.baseContext.Err() != nil {
		// Slots freed by requests that end with the proxy must not be used
		// again.
		permission.cancel()
		a.code, a.evidence = result.NodeLeaving, notrun.NotSent
		return a
	}
	conn, err := permission.target.pool.Get(ctx, "")
	if err != nil {
		permission.cancel()
		a.code, a.evidence = p.handleConnectError(ctx, permission), notrun.NotSent
		return a
	}
	if !permission.stillGranted() {
		permission.target.pool.Put(conn)
		permission.release()
		a.code, a.evidence = result.NoCapacity, notrun.NotSent
		return a
	}
	permission.place.counts.attempts.Add(1)
	q.out.Host = permission.target.host
	q.out.Deadline = deadline
	q.out.HeaderReceived = func(_ int, h http.Header) {
		if h.Get(result.HeaderLeaving) != "" {
			permission.target.state.MarkLeaving()
		}
	}
	sent := time.Now()
	answer, err := conn.Exchange(ctx, &q.out)
	permission.target.pool.Put(conn)
	permission.release()
	took := q.targetTime(sent)
	if err != nil {
		a.code, a.evidence = p.handleExchangeError(ctx, permission, err, took)
		return a
	}
	p.recordAnswer(permission, answer, took)
	if q.out.Length > p.options.StreamOverBytes && answer.SendDuration > 0 {
		q.service.state.sendTime.observe(q.out.Length, answer.SendDuration)
	}
	if answer.Shed {
		q.releaseAnswer(answer)
		a.code, a.evidence = result.TargetShed, answer.Evidence(result.HeaderShed)
		return a
	}
	a.answer = answer
	return a
}

// handleConnectError returns the result of a request that got no connection.
// Nothing was sent.
func (p *Proxy) handleConnectError(ctx context.Context, permission permission) result.Code {
	if ctx.Err() != nil {
		return p.contextErrorCode(ctx)
	}
	permission.place.counts.attempts.Add(1)
	p.recordFailure(permission)
	return result.ConnectFailed
}

func (p *Proxy) handleExchangeError(ctx context.Context, permission permission, err error, took time.Duration) (result.Code, notrun.Evidence) {
	code, evidence := result.Internal, notrun.None
	var failure *forward.Error
	if errors.As(err, &failure) {
		code, evidence = failure.Code, failure.Evidence()
	}
	if code == result.DeadlineAfterSend {
		permission.place.tailLatency.observeTimeout(took)
	}
	if p.isTargetFailure(permission.target, code, took) {
		p.recordFailure(permission)
	}
	if code == result.DeadlineBeforeSend {
		code = p.contextErrorCode(ctx)
	}
	return code, evidence
}

// isTargetFailure reports whether a failed exchange counts against the target.
func (p *Proxy) isTargetFailure(t *target, code result.Code, took time.Duration) bool {
	switch code {
	case result.ConnectionLost, result.AnswerTruncated, result.ConnectFailed:
		return true
	case result.DeadlineAfterSend:
		return took >= timeoutFailureFactor*t.state.Latency()
	default:
		return false
	}
}

func (p *Proxy) recordFailure(permission permission) {
	permission.place.counts.failed.Add(1)
	if permission.set.set.RecordFailure(permission.index, p.now()) {
		p.log.Warnf("proxy: ejected target %s of service %s in place %s after failed requests",
			permission.target.id, permission.place.key.Service, permission.place.key.Place)
	}
}

// recordAnswer updates the state of the target and the statistics of its place.
func (p *Proxy) recordAnswer(permission permission, answer *forward.Response, took time.Duration) {
	state := permission.target.state
	now := p.now()
	if answer.Shed {
		state.RecordShed(now)
		return
	}
	if answer.Status >= http.StatusInternalServerError {
		p.recordFailure(permission)
		return
	}
	state.Health.RecordSuccess(now)
	if took == 0 {
		// The target answered before the body was complete.
		return
	}
	state.RecordLatency(took)
	permission.place.counts.recordLatency(took)
	permission.place.tailLatency.observe(took)
}
