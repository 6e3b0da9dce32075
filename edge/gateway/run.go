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
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

const (
	// maxAttempts bounds how often a request is sent that targets refuse unrun.
	maxAttempts = 4
	// hedgeLatencyFactor times the expected latency without an answer, an idempotent
	// request is sent to a second target: its target may have lost power. A cold run
	// takes three times as long as a warm one, and must not be sent again for that: the
	// second target runs it cold as well.
	hedgeLatencyFactor = 4.0
	// minHedgeDelay is the shortest such time.
	minHedgeDelay = 300 * time.Millisecond
	// maxHedgeFraction of the time left is the longest such time: the second target needs
	// the rest.
	maxHedgeFraction = 0.4
)

// attempt is one sending that has ended.
type attempt struct {
	decision placing.Decision
	answer   *forward.Answer
	// notRun tells that the request certainly did not run.
	notRun bool
	code   result.Code
	err    error
	// took is from the sending to its end.
	took time.Duration
}

// run sends a request until it has ended.
func (g *Gateway) run(ctx context.Context, r *request) outcome {
	g.budgetOf(r.service).Fresh(budgetFraction * g.options.RetryRatio)
	for {
		d, end := g.place(ctx, r)
		if d.Target == nil {
			return g.finalOutcome(r, end)
		}
		// It may have become known while the request waited.
		if v := g.verdict(r); isBlocked(v) && !r.onTrial {
			g.options.Balancer.Done(time.Now(), d, r.class, placing.Cancelled, 0)
			return g.finalOutcome(r, quarantinedOutcome(v))
		}
		a := g.send(ctx, r, d)
		end, done := g.resolveAttempt(ctx, r, a)
		if done {
			return g.finalOutcome(r, end)
		}
	}
}

// finalOutcome keeps what an earlier sending showed: a failure that a target answered is
// passed on rather than replaced, and "not run" is not said of what may have run.
func (g *Gateway) finalOutcome(r *request, end outcome) outcome {
	if end.answer != nil || end.code == result.CallerGone {
		return end
	}
	if r.lastFailure != nil {
		return outcome{code: result.OK, answer: r.lastFailure}
	}
	if r.mayHaveRun && result.InfoOf(end.code).Outcome == result.NotRun {
		return outcome{code: result.ConnectionLost, reason: end.reason}
	}
	return end
}

// place waits for a target.
func (g *Gateway) place(ctx context.Context, r *request) (placing.Decision, outcome) {
	began := time.Now()
	d, w := g.options.Balancer.Place(began, &r.placement)
	r.placement.Again = true
	if w != nil {
		g.options.InFlightChanged()
		select {
		case d = <-w.Decided():
		case <-ctx.Done():
			if late, decided := g.options.Balancer.Cancel(w); decided && late.Target != nil {
				g.options.Balancer.Done(time.Now(), late, r.class, placing.Cancelled, 0)
			}
			return placing.Decision{}, g.contextOutcome(ctx, r)
		}
		r.log.waited += time.Since(began)
	}
	r.log.decision = d
	if d.Target == nil {
		code := result.QueueFull
		if d.Reason == placing.NoTarget {
			code = result.NoTarget
		}
		return d, outcome{code: code, retryAfter: d.RetryAfter, reason: d.Reason.String()}
	}
	g.options.InFlightChanged()
	return d, outcome{}
}

// contextOutcome is the outcome when the time ended, or the caller left.
func (g *Gateway) contextOutcome(ctx context.Context, r *request) outcome {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome{code: result.CallerGone, reason: "caller left"}
	}
	return deadlineOutcome(r)
}

// deadlineOutcome is the outcome when the time ended.
func deadlineOutcome(r *request) outcome {
	if r.mayHaveRun {
		return outcome{code: result.DeadlineAfterSend, reason: "no answer in time"}
	}
	return outcome{code: result.QueueFull, retryAfter: deadlineRetryAfter, reason: "no target in time"}
}

// deadlineRetryAfter is for callers whose time is over: they may retry at once.
const deadlineRetryAfter = 50 * time.Millisecond

// send sends a request to one target, and an idempotent one to a second if the
// first does not answer for long.
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
			// The second target did not run it, and the first has not answered: a third
			// one is tried, or the request would wait for its deadline.
			if a.notRun && r.attempts < maxAttempts {
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

// hedgeDelay is how long the first target may take to answer.
func hedgeDelay(expected, left time.Duration) time.Duration {
	return max(minHedgeDelay, time.Duration(min(hedgeLatencyFactor*float64(expected), maxHedgeFraction*float64(left))))
}

// hedge finds a second target that is free now.
func (g *Gateway) hedge(r *request, first placing.Decision) (placing.Decision, bool) {
	if g.limitedToOneAttempt(r) || g.options.Balancer.Waiting() > 0 || !g.budgetOf(r.service).Take() {
		return placing.Decision{}, false
	}
	r.placement.Tried = append(r.placement.Tried, first.Target)
	d, w := g.options.Balancer.Place(time.Now(), &r.placement)
	if w != nil {
		if late, decided := g.options.Balancer.Cancel(w); decided {
			d = late
		}
	}
	if d.Target == nil {
		g.budgetOf(r.service).Give()
		return d, false
	}
	return d, true
}

// sendAndRecord is one sending, noted.
func (g *Gateway) sendAndRecord(ctx context.Context, r *request, d placing.Decision) attempt {
	a := g.sendOnce(ctx, r, d)
	g.recordAttempt(r, a)
	return a
}

// recordAttempt takes a sending into the request's account.
func (g *Gateway) recordAttempt(r *request, a attempt) {
	r.attempts++
	if a.code != result.TargetShed || !a.decision.FailuresAreWidespread {
		r.placement.Tried = append(r.placement.Tried, a.decision.Target)
	}
	r.mayHaveRun = r.mayHaveRun || !a.notRun
	r.log.targets = append(r.log.targets, a.decision.Target.ID)
	end := "answered"
	if a.err != nil {
		end = a.err.Error()
	} else if a.notRun {
		end = "not run"
	}
	r.log.results = append(r.log.results, end)
	r.log.durationsMS = append(r.log.durationsMS, a.took.Milliseconds())
	g.options.Metrics.AttemptEnded(r.service, a.code.String())
	g.recordAnswered(r, a)
	g.recordUnanswered(r, a)
}

// sendOnce sends a request once and ends it at the board.
func (g *Gateway) sendOnce(ctx context.Context, r *request, d placing.Decision) attempt {
	began := time.Now()
	a := g.sendToTarget(ctx, r, d)
	a.took = time.Since(began)
	g.options.Balancer.Done(time.Now(), d, r.class, g.placingOutcome(ctx, a), a.took)
	g.options.InFlightChanged()
	return a
}

func (g *Gateway) sendToTarget(ctx context.Context, r *request, d placing.Decision) attempt {
	p := g.poolOf(d.Target)
	conn, err := p.Get(ctx)
	if err != nil {
		return attempt{decision: d, notRun: true, code: result.ConnectFailed, err: err}
	}
	defer p.Put(conn)
	answer, err := g.sendOverConn(ctx, r, d, conn)
	if answer != nil {
		updateIdleTimeout(p, answer.Header)
	}
	return g.classify(d, answer, err)
}

var errPanic = errors.New("gateway: exchange panicked")

// sendOverConn is one exchange. One that panics, in a goroutine of its own, fails like one whose
// connection is lost: otherwise its request would end one VM after the other.
func (g *Gateway) sendOverConn(ctx context.Context, r *request, d placing.Decision, conn *forward.Conn) (answer *forward.Answer, err error) {
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
	return conn.Exchange(ctx, &out)
}

// updateIdleTimeout keeps idle connections for less time than the target says it does.
func updateIdleTimeout(p *pool.Pool, h http.Header) {
	if limit, ok := keepAliveTimeout(h); ok {
		p.SetMaxIdle(limit)
	}
}

// classify tells what an exchange showed.
func (g *Gateway) classify(d placing.Decision, answer *forward.Answer, err error) attempt {
	a := attempt{decision: d, answer: answer}
	var failed *forward.Error
	switch {
	case errors.As(err, &failed):
		a.code, a.err, a.notRun = failed.Code, err, failed.NotRun()
	case err != nil:
		a.code, a.err = result.ConnectionLost, err
	case answer.Header.Get(g.options.Fields.NotRun) != "" || answer.Status == http.StatusMisdirectedRequest:
		a.code, a.notRun, a.answer = result.TargetShed, true, nil
	case answer.Header.Get(g.options.Fields.Stamp) == "" && answer.Status < http.StatusBadRequest:
		// Only the target's own mark shows that a success is one.
		a.code, a.answer, a.err = result.AnswerTruncated, nil, errNoStamp
	}
	return a
}

var errNoStamp = errors.New("gateway: success without the target's mark")

// placingOutcome tells the board how a sending ended.
func (g *Gateway) placingOutcome(ctx context.Context, a attempt) placing.End {
	switch {
	case a.answer != nil && isServerError(a.answer):
		return placing.Broken
	case a.answer != nil:
		return placing.Answered
	case a.code == result.TargetShed:
		return placing.Shed
	case ctx.Err() != nil || a.code == result.DeadlineBeforeSend || a.code == result.CallerGone:
		return placing.Cancelled
	case a.code == result.ConnectFailed && !errors.Is(a.err, pool.ErrFull):
		return placing.Unreachable
	}
	return placing.Broken
}

func isServerError(a *forward.Answer) bool { return a.Status >= http.StatusInternalServerError }

// resolveAttempt decides whether a request has ended, or is sent again.
func (g *Gateway) resolveAttempt(ctx context.Context, r *request, a attempt) (outcome, bool) {
	repeatable := r.route.Kind == site.Idempotent
	if a.answer != nil {
		if !isServerError(a.answer) || !repeatable {
			return outcome{code: result.OK, answer: a.answer}, true
		}
		r.lastFailure = a.answer
	}
	if ctx.Err() != nil {
		return g.contextOutcome(ctx, r), true
	}
	end := outcome{code: a.code, reason: "sending failed"}
	if a.answer != nil {
		end = outcome{code: result.OK, answer: a.answer}
	} else if a.notRun {
		end.retryAfter = shedRetryAfter
	}
	if !a.notRun && !repeatable {
		return end, true
	}
	if !a.notRun && r.attempts >= r.route.MaxAttempts || r.attempts >= maxAttempts {
		return end, true
	}
	if g.limitedToOneAttempt(r) && (r.onTrial || !a.notRun) {
		return end, true
	}
	if a.code != result.ConnectFailed && !g.budgetOf(r.service).Take() {
		return end, true
	}
	return outcome{}, false
}

// shedRetryAfter is when a target that shed a request should have room.
const shedRetryAfter = 200 * time.Millisecond
