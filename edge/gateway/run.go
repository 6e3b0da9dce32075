package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/reach"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/notrun"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

const (
	// maxAttempts bounds the attempts of a request, including those that targets refuse unrun.
	maxAttempts = 4
	// hedgeLatencyFactor times the expected latency is the hedge delay: an idempotent request
	// without an answer by then is also sent to a second target. It exceeds the ratio of a
	// cold run to a warm one, which is about three, as the second target would run the request
	// cold too.
	hedgeLatencyFactor = 4.0
	// minHedgeDelay is the lower bound of the hedge delay.
	minHedgeDelay = 300 * time.Millisecond
	// maxHedgeFraction of the time left is the upper bound of the hedge delay, which leaves
	// the second target the rest.
	maxHedgeFraction = 0.4
)

// attempt is the result of sending a request to one target.
type attempt struct {
	decision placing.Decision
	answer   *forward.Response
	// evidence is what shows that the request did not run, notrun.None if it may have run.
	evidence notrun.Evidence
	// exchange is that of the attempt, without a number if there was none.
	exchange forward.Trace
	code     result.Code
	err      error
	took     time.Duration
	// fresh is set if the request was the first one on its connection.
	fresh bool
}

// run places and sends a request until it succeeds or may not be retried.
func (g *Gateway) run(ctx context.Context, r *request) outcome {
	if r.fromPeer && !g.reach.Reaches(r.service, r.placement.Allowed) {
		return unreachedOutcome()
	}
	for {
		if g.hasEndedSends() {
			return leavingOutcome()
		}
		if g.relaysFirst(r) {
			if end, done := g.relay(ctx, r); done {
				return end
			}
		}
		d, end := g.place(ctx, r)
		if d.Reason == placing.Unreached {
			if relayed, done := g.relay(ctx, r); done {
				end = relayed
			} else if relayed, done := g.relayToSlow(ctx, r); done {
				end = relayed
			}
		}
		if d.Target == nil {
			return end
		}
		g.deposit(r)
		// The request may have been quarantined while it waited.
		if v := g.verdict(r); isBlocked(v) && !r.onTrial {
			g.options.Balancer.Done(time.Now(), d, r.class, placing.Cancelled, 0)
			return quarantinedOutcome(v)
		}
		if refused, ok := g.withdrawn(r); ok {
			g.options.Balancer.Done(time.Now(), d, r.class, placing.Cancelled, 0)
			return refused
		}
		a := g.send(ctx, r, d)
		end, done := g.resolveAttempt(ctx, r, a)
		if done {
			return end
		}
	}
}

// deposit counts a request in the retry budget, once at all VMs.
func (g *Gateway) deposit(r *request) {
	if !r.deposited {
		r.deposited = true
		g.budgetOf(r.service).Deposit(budgetFraction * g.options.RetryRatio)
	}
}

func leavingOutcome() outcome { return outcome{code: result.NodeLeaving, reason: "leaving"} }

func unreachedOutcome() outcome {
	return outcome{code: result.NoTarget, reason: placing.Unreached.String(), unreached: true}
}

// finalOutcome takes earlier attempts into account: an error response of a target is
// returned rather than replaced, and a request that may have run is not reported as not run.
func (g *Gateway) finalOutcome(r *request, end outcome) outcome {
	refused := result.InfoOf(end.code).Outcome == result.NotRun
	if end.answer != nil && !(r.attempted.MayHaveRun() && refused) || end.code == result.CallerGone {
		return end
	}
	if r.lastFailure.answer != nil {
		return r.lastFailure
	}
	if r.attempted.MayHaveRun() && refused {
		return outcome{code: result.ConnectionLost, reason: end.reason}
	}
	return end
}

// place gets a target for the request and waits in the queue if none is free.
func (g *Gateway) place(ctx context.Context, r *request) (placing.Decision, outcome) {
	began := time.Now()
	d, w := g.options.Balancer.Place(began, &r.placement)
	if w != nil {
		g.options.InFlightChanged()
		select {
		case d = <-w.Decided():
		case <-ctx.Done():
			g.cancelPlacement(r, w)
			return placing.Decision{}, g.contextOutcome(ctx, r)
		case <-g.sendsEnded:
			g.cancelPlacement(r, w)
			return placing.Decision{}, leavingOutcome()
		}
		r.log.waited += time.Since(began)
	}
	r.log.decision, r.log.region = d, d.Region
	if d.Reason == placing.Unreached {
		end := unreachedOutcome()
		end.retryAfter = d.RetryAfter
		return d, end
	}
	r.placement.AlreadyCounted = true
	if d.Target == nil {
		code := result.QueueFull
		if d.Reason == placing.NoTarget || d.Reason == placing.AllLeaving {
			code = result.NoTarget
		}
		return d, outcome{code: code, retryAfter: d.RetryAfter, reason: d.Reason.String()}
	}
	g.options.InFlightChanged()
	return d, outcome{}
}

// cancelPlacement takes a request out of the queue.
func (g *Gateway) cancelPlacement(r *request, w *placing.Waiter) {
	late, decided := g.options.Balancer.Cancel(w)
	if decided && late.Target != nil {
		g.options.Balancer.Done(time.Now(), late, r.class, placing.Cancelled, 0)
	}
	r.log.region = late.Region
}

// contextOutcome returns the outcome of a request whose context has ended.
func (g *Gateway) contextOutcome(ctx context.Context, r *request) outcome {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome{code: result.CallerGone, reason: "caller left"}
	}
	return deadlineOutcome(r)
}

// deadlineOutcome returns the outcome of a request whose deadline has passed.
func deadlineOutcome(r *request) outcome {
	if r.attempted.MayHaveRun() {
		return outcome{code: result.DeadlineAfterSend, reason: "no answer in time"}
	}
	return outcome{code: result.QueueFull, retryAfter: deadlineRetryAfter, reason: "no target before the deadline"}
}

// deadlineRetryAfter is short: the caller has waited for its whole deadline.
const deadlineRetryAfter = 50 * time.Millisecond

// send sends a request to one target, and hedges an idempotent one if the first target does
// not answer in time.
func (g *Gateway) send(ctx context.Context, r *request, d placing.Decision) attempt {
	if r.route.Kind == site.AtMostOnce || r.route.MaxAttempts < 2 || r.attempts > 0 {
		return g.sendAndRecord(ctx, r, d)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := make(chan attempt, 2)
	go func() { attempts <- g.sendOnce(ctx, r, d) }()
	hedgeTimer := time.NewTimer(hedgeDelay(d.Expected, time.Until(r.deadline)))
	defer hedgeTimer.Stop()
	running := 1
	for {
		select {
		case a := <-attempts:
			running--
			g.recordAttempt(r, a)
			if a.answer != nil && !isServerError(a.answer) || running == 0 {
				return a
			}
			// The second target refused the request and the first has not answered: hedge
			// again, or the request waits until its deadline.
			if a.evidence.Certain() && r.attempts < maxAttempts {
				hedgeTimer.Reset(minHedgeDelay)
			}
		case <-hedgeTimer.C:
			if second, ok := g.hedge(r, d); ok {
				running++
				r.log.hedged = true
				go func() { attempts <- g.sendOnce(ctx, r, second) }()
			}
		}
	}
}

// hedgeDelay returns how long to wait for the first target before hedging.
func hedgeDelay(expected, left time.Duration) time.Duration {
	return max(minHedgeDelay, time.Duration(min(hedgeLatencyFactor*float64(expected), maxHedgeFraction*float64(left))))
}

// hedge returns a second target if one is free now and the retry budget allows it.
func (g *Gateway) hedge(r *request, first placing.Decision) (placing.Decision, bool) {
	_, withdrawn := g.withdrawn(r)
	if g.hasEndedSends() || g.limitedToOneAttempt(r) || withdrawn || g.options.Balancer.Waiting() > 0 || !g.budgetOf(r.service).Take() {
		return placing.Decision{}, false
	}
	r.placement.Tried = append(r.placement.Tried, first.Target)
	d, w := g.options.Balancer.Place(time.Now(), &r.placement)
	if w != nil {
		if late, decided := g.options.Balancer.Cancel(w); decided {
			d = late
		}
	}
	if d.Target != nil && !g.mayRepeat(r) {
		g.options.Balancer.Done(time.Now(), d, r.class, placing.Cancelled, 0)
		d.Target = nil
	}
	if d.Target == nil {
		g.budgetOf(r.service).Refund()
		return d, false
	}
	return d, true
}

func (g *Gateway) sendAndRecord(ctx context.Context, r *request, d placing.Decision) attempt {
	a := g.sendOnce(ctx, r, d)
	g.recordAttempt(r, a)
	return a
}

// recordAttempt updates the request, its log fields and the metrics after an attempt.
func (g *Gateway) recordAttempt(r *request, a attempt) {
	r.attempts++
	if a.code != result.TargetShed || !a.decision.FailuresAreWidespread {
		r.placement.Tried = append(r.placement.Tried, a.decision.Target)
	}
	r.attempted.Add(a.evidence)
	r.log.targets = append(r.log.targets, a.decision.Target.ID)
	end := "answered"
	if a.err != nil {
		end = a.err.Error()
	} else if a.evidence.Certain() {
		end = "not run"
	}
	r.log.results = append(r.log.results, end)
	r.log.durationsMS = append(r.log.durationsMS, a.took.Milliseconds())
	r.log.exchanges.add(a.exchange, a.evidence)
	g.options.Metrics.AttemptEnded(r.service, a.code.String())
	g.recordExpectedError(r, a)
	g.recordAnswered(r, a)
	g.recordUnanswered(r, a)
}

// sendOnce makes one attempt and reports its end to the balancer.
func (g *Gateway) sendOnce(ctx context.Context, r *request, d placing.Decision) attempt {
	began := time.Now()
	tracked := g.reach.Begin(began, groupOf(d.Target), d.Target.Incarnation, d.Expected)
	a := g.sendToTarget(ctx, r, d, tracked)
	a.took = time.Since(began)
	g.reach.End(time.Now(), tracked, reachEnd(ctx, a), a.fresh)
	g.options.Balancer.Done(time.Now(), d, r.class, g.placingOutcome(ctx, a), a.took)
	g.options.InFlightChanged()
	return a
}

func (g *Gateway) sendToTarget(ctx context.Context, r *request, d placing.Decision, tracked *reach.Attempt) attempt {
	p := g.poolOf(d.Target)
	conn, err := p.Get(ctx, r.id)
	if err != nil {
		return attempt{decision: d, evidence: notrun.NotSent, code: result.ConnectFailed, err: err}
	}
	defer p.Put(conn)
	fresh := !conn.Used()
	answer, err := g.sendOverConn(ctx, r, d, conn, tracked)
	if answer != nil {
		updateIdleTimeout(p, answer.Header)
	}
	a := g.classify(d, answer, err)
	a.fresh, a.exchange = fresh, conn.Trace()
	return a
}

var errPanic = errors.New("gateway: exchange panicked")

// sendOverConn exchanges the request for an answer. It turns a panic into a failed attempt, so
// that a request that triggers one cannot crash one VM after another through retries.
func (g *Gateway) sendOverConn(ctx context.Context, r *request, d placing.Decision, conn *forward.Conn, tracked *reach.Attempt) (answer *forward.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			g.options.Logger.WithFields(logrus.Fields{"id": r.id, "panic": cause, "stack": string(debug.Stack())}).
				Error("gateway: exchange panicked")
			answer, err = nil, errPanic
		}
	}()
	out := r.out
	out.Header = r.out.Header.Clone()
	out.Header.Set(g.options.Fields.ExpectTarget, d.Target.ID)
	sent := g.newSending(d.Target, r.id)
	out.HeaderReceived = func(status int, h http.Header) {
		g.reach.Heard(time.Now(), tracked)
		g.observe(sent, status, h)
	}
	return g.exchange(ctx, conn, &out)
}

// exchange releases the memory of an answer when it is whole: callers that read it late have a limit of their own.
func (g *Gateway) exchange(ctx context.Context, conn *forward.Conn, out *forward.Request) (*forward.Response, error) {
	answer, err := conn.Exchange(ctx, out)
	if answer != nil && out.Memory != nil {
		out.Memory.Give(answer.ReservedBytes)
	}
	return answer, err
}

// updateIdleTimeout closes idle connections before the target does, by its Keep-Alive header.
func updateIdleTimeout(p *pool.Pool, h http.Header) {
	if limit, ok := keepAliveTimeout(h); ok {
		p.SetMaxIdle(limit)
	}
}

// classify derives the result of an attempt from the answer or the error.
func (g *Gateway) classify(d placing.Decision, answer *forward.Response, err error) attempt {
	a := attempt{decision: d}
	var failed *forward.Error
	if errors.As(err, &failed) {
		a.code, a.err, a.evidence = failed.Code, err, failed.Evidence()
		return a
	} else if err != nil {
		a.code, a.err = result.ConnectionLost, err
		return a
	}
	a.evidence = answer.Evidence(g.options.Fields.NotRun)
	switch {
	case a.evidence.Certain():
		a.code = result.TargetShed
	case notrun.IsPromise(answer.Status):
		// Passed on, its status would promise what the target has not stated.
		a.code, a.err = result.UnprovenRefusal, errors.Errorf("gateway: status %d without the statement that the request did not run", answer.Status)
	case answer.Header.Get(g.options.Fields.Stamp) == "" && answer.Status < http.StatusBadRequest:
		// Only the stamp proves that a success came from the target.
		a.code, a.err = result.AnswerTruncated, errNoStamp
	default:
		a.answer = answer
	}
	return a
}

var errNoStamp = errors.New("gateway: success response without the target's stamp")

// placingOutcome returns the outcome that the balancer is told.
func (g *Gateway) placingOutcome(ctx context.Context, a attempt) placing.Outcome {
	switch {
	case a.answer != nil && isServerError(a.answer):
		return placing.Failed
	case a.answer != nil:
		return placing.Answered
	case a.code == result.TargetShed:
		return placing.Shed
	case ctx.Err() != nil || a.code == result.DeadlineBeforeSend || a.code == result.CallerGone:
		return placing.Cancelled
	case a.code == result.ConnectFailed && !errors.Is(a.err, pool.ErrFull):
		return placing.Unreachable
	}
	return placing.Failed
}

func isServerError(a *forward.Response) bool { return a.Status >= http.StatusInternalServerError }

// resolveAttempt decides after an attempt whether the request is done. It returns false if the
// request may be retried.
func (g *Gateway) resolveAttempt(ctx context.Context, r *request, a attempt) (outcome, bool) {
	repeatable := r.route.Kind == site.Idempotent
	answered := outcome{code: result.OK, answer: a.answer, target: a.decision.Target}
	if a.answer != nil {
		if !isServerError(a.answer) || !repeatable {
			return answered, true
		}
		r.lastFailure = answered
	}
	if ctx.Err() != nil {
		return g.contextOutcome(ctx, r), true
	}
	end := outcome{code: a.code, reason: "attempt failed"}
	if a.answer != nil {
		end = answered
	} else if a.evidence.Certain() {
		end.retryAfter = max(shedRetryAfter, g.options.Balancer.RetryAfter(time.Now(), &r.placement))
	}
	if !a.evidence.Certain() && !repeatable {
		return end, true
	}
	if !a.evidence.Certain() && r.attempts >= r.route.MaxAttempts || r.attempts >= maxAttempts {
		return end, true
	}
	if g.limitedToOneAttempt(r) && (r.onTrial || !a.evidence.Certain()) {
		return end, true
	}
	if !a.evidence.Certain() && !g.mayRepeat(r) {
		return end, true
	}
	if a.code != result.ConnectFailed && !g.budgetOf(r.service).Take() {
		return end, true
	}
	return outcome{}, false
}

// shedRetryAfter is the least Retry-After of a request that targets refused.
const shedRetryAfter = 200 * time.Millisecond
