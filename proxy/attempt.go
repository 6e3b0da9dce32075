package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// blameFactor is how many times its typical latency a target must have had
// before an answer that did not come counts as its failure; a caller's short
// deadline is not.
const blameFactor = 3

// attempt is how one sending of a request ended. The zero value is no attempt.
type attempt struct {
	permission permission
	answer     *forward.Response
	code       result.Code
	made       bool
}

// final reports whether the request must not be sent again.
func (a attempt) final(class model.Class) bool {
	if a.answer != nil {
		return class != model.Idempotent || !retryable(a.answer.Status)
	}
	switch a.code {
	case result.DeadlineBeforeSend, result.NodeLeaving, result.CallerGone, result.AnswerTooLarge:
		// Another target would end in the same way.
		return true
	}
	return class != model.Idempotent && !isNotRun(a.code)
}

// better returns what to tell the caller of two attempts: a whole answer goes
// before everything, the later one first; then "unknown" before "not run",
// because a request that may have run once must not be called not run. The
// memory of an answer that is not told is freed.
func (q *request) better(earlier, later attempt) attempt {
	switch {
	case !earlier.made:
		return later
	case later.answer != nil:
		q.dropAnswer(earlier.answer)
		return later
	case earlier.answer != nil:
		return earlier
	case isNotRun(earlier.code):
		return later
	default:
		return earlier
	}
}

// dropAnswer frees the memory of an answer.
func (q *request) dropAnswer(a *forward.Response) {
	if a != nil {
		q.account.bytes.Give(a.ReservedBytes)
	}
}

func (a attempt) ending() ending {
	if a.answer == nil {
		return refused(refuse(a.code))
	}
	return ending{answer: a.answer, place: a.permission.place.field, target: a.permission.target.field}
}

// attempt sends a request to one target, once, and gives up at the deadline.
func (p *Proxy) attempt(ctx context.Context, q *request, permission permission, deadline time.Time) attempt {
	a := attempt{permission: permission, made: true}
	if p.base.Err() != nil {
		// The slots of requests that end with the proxy are free for a moment;
		// nothing new may be sent on them.
		permission.cancel()
		a.code = result.NodeLeaving
		return a
	}
	conn, err := permission.target.pool.Get(ctx)
	if err != nil {
		permission.cancel()
		a.code = p.connectFailed(ctx, permission)
		return a
	}
	if !permission.stillGranted() {
		permission.target.pool.Put(conn)
		permission.release()
		a.code = result.NoCapacity
		return a
	}
	permission.place.counts.tried.Add(1)
	q.out.Host = permission.target.host
	q.out.Deadline = deadline
	sent := time.Now()
	answer, err := conn.Exchange(ctx, &q.out)
	permission.target.pool.Put(conn)
	permission.release()
	took := q.servedFor(sent)
	if err != nil {
		a.code = p.exchangeFailed(ctx, permission, err, took)
		return a
	}
	p.learn(permission, answer, took)
	if q.out.Length > p.options.StreamOverBytes && answer.SendDuration > 0 {
		q.service.state.sending.observe(q.out.Length, answer.SendDuration)
	}
	if answer.Shed {
		q.dropAnswer(answer)
		a.code = result.TargetShed
		return a
	}
	a.answer = answer
	return a
}

// connectFailed tells why no connection was there. Nothing was sent.
func (p *Proxy) connectFailed(ctx context.Context, permission permission) result.Code {
	if ctx.Err() != nil {
		return p.endedCode(ctx)
	}
	permission.place.counts.tried.Add(1)
	p.failed(permission)
	return result.ConnectFailed
}

func (p *Proxy) exchangeFailed(ctx context.Context, permission permission, err error, took time.Duration) result.Code {
	code := result.Internal
	var failure *forward.Error
	if errors.As(err, &failure) {
		code = failure.Code
	}
	if code == result.DeadlineAfterSend {
		permission.place.tail.cutOff(took)
	}
	if p.blames(permission.target, code, took) {
		p.failed(permission)
	}
	if code == result.DeadlineBeforeSend {
		return p.endedCode(ctx)
	}
	return code
}

// blames reports whether a failure is the target's.
func (p *Proxy) blames(t *target, code result.Code, took time.Duration) bool {
	switch code {
	case result.ConnectionLost, result.AnswerTruncated, result.ConnectFailed:
		return true
	case result.DeadlineAfterSend:
		return took >= blameFactor*t.state.Latency()
	default:
		return false
	}
}

func (p *Proxy) failed(permission permission) {
	permission.place.counts.failed.Add(1)
	if permission.set.set.Failed(permission.index, p.now()) {
		p.log.Warnf("proxy: target %s of %s in %s ejected, its requests fail",
			permission.target.id, permission.place.key.Service, permission.place.key.Place)
	}
}

// learn takes from an answer what it tells of the target.
func (p *Proxy) learn(permission permission, answer *forward.Response, took time.Duration) {
	state := permission.target.state
	now := p.now()
	if answer.Draining {
		state.ToldLeaving()
	}
	if answer.Shed {
		state.Shed(now)
		return
	}
	if answer.Status >= http.StatusInternalServerError {
		p.failed(permission)
		return
	}
	state.Health.Succeeded(now)
	if took == 0 {
		// Answered before the body was whole.
		return
	}
	state.Served(took)
	permission.place.counts.answered(took)
	permission.place.tail.observe(took)
}
