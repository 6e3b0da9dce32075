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
	// maxSendings bounds how often a request is sent that targets refuse unrun.
	maxSendings = 4
	// hedgeAfter times the expected latency without an answer, an idempotent
	// request is sent to a second target: its target may have lost power. A cold run
	// takes three times as long as a warm one, and must not be sent again for that: the
	// second target runs it cold as well.
	hedgeAfter = 4.0
	// minHedge is the shortest such time.
	minHedge = 300 * time.Millisecond
	// hedgeShare of the time left is the longest such time: the second target needs
	// the rest.
	hedgeShare = 0.4
)

// try is one sending that has ended.
type try struct {
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
func (g *Gateway) run(ctx context.Context, j *job) outcome {
	g.budgetOf(j.service).Fresh(budgetMargin * g.options.RetryRatio)
	for {
		d, end := g.place(ctx, j)
		if d.Target == nil {
			return g.settle(j, end)
		}
		// It may have become known while the request waited.
		if v := g.verdict(j); isKept(v) && !j.onTrial {
			g.options.Balancer.Done(time.Now(), d, j.class, placing.Cancelled, 0)
			return g.settle(j, keptOutcome(v))
		}
		t := g.send(ctx, j, d)
		end, done := g.judge(ctx, j, t)
		if done {
			return g.settle(j, end)
		}
	}
}

// settle keeps what an earlier sending showed: a failure that a target answered is
// passed on rather than replaced, and "not run" is not said of what may have run.
func (g *Gateway) settle(j *job, end outcome) outcome {
	if end.answer != nil || end.code == result.CallerGone {
		return end
	}
	if j.last != nil {
		return outcome{code: result.OK, answer: j.last}
	}
	if j.mayHaveRun && result.InfoOf(end.code).Outcome == result.NotRun {
		return outcome{code: result.ConnectionLost, why: end.why}
	}
	return end
}

// place waits for a target.
func (g *Gateway) place(ctx context.Context, j *job) (placing.Decision, outcome) {
	began := time.Now()
	d, w := g.options.Balancer.Place(began, &j.ask)
	j.ask.AlreadyCounted = true
	if w != nil {
		g.options.InFlightChanged()
		select {
		case d = <-w.Decided():
		case <-ctx.Done():
			if late, decided := g.options.Balancer.Cancel(w); decided && late.Target != nil {
				g.options.Balancer.Done(time.Now(), late, j.class, placing.Cancelled, 0)
			}
			return placing.Decision{}, g.givenUp(ctx, j)
		}
		j.log.waited += time.Since(began)
	}
	j.log.placed = d
	if d.Target == nil {
		code := result.QueueFull
		if d.Reason == placing.NoTarget {
			code = result.NoTarget
		}
		return d, outcome{code: code, retryAfter: d.RetryAfter, why: d.Reason.String()}
	}
	g.options.InFlightChanged()
	return d, outcome{}
}

// givenUp is the outcome when the time ended, or the caller left.
func (g *Gateway) givenUp(ctx context.Context, j *job) outcome {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome{code: result.CallerGone, why: "caller left"}
	}
	return timeOver(j)
}

// timeOver is the outcome when the time ended.
func timeOver(j *job) outcome {
	if j.mayHaveRun {
		return outcome{code: result.DeadlineAfterSend, why: "no answer in time"}
	}
	return outcome{code: result.QueueFull, retryAfter: minRetry, why: "no target in time"}
}

// minRetry is for callers whose time is over: they may retry at once.
const minRetry = 50 * time.Millisecond

// send sends a request to one target, and an idempotent one to a second if the
// first does not answer for long.
func (g *Gateway) send(ctx context.Context, j *job, d placing.Decision) try {
	if j.route.Kind == site.AtMostOnce || j.route.MaxAttempts < 2 || j.sent > 0 {
		return g.exchange(ctx, j, d)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tries := make(chan try, 2)
	go func() { tries <- g.exchangeOnce(ctx, j, d) }()
	patience := time.NewTimer(hedgeTime(d.Expected, time.Until(j.deadline)))
	defer patience.Stop()
	running := 1
	for {
		select {
		case t := <-tries:
			running--
			g.note(j, t)
			if t.answer != nil && !isServerError(t.answer) || running == 0 {
				return t
			}
			// The second target did not run it, and the first has not answered: a third
			// one is tried, or the request would wait for its deadline.
			if t.notRun && j.sent < maxSendings {
				patience.Reset(minHedge)
			}
		case <-patience.C:
			if second, ok := g.hedge(j, d); ok {
				running++
				j.log.hedged = true
				go func() { tries <- g.exchangeOnce(ctx, j, second) }()
			}
		}
	}
}

// hedgeTime is how long the first target may take to answer.
func hedgeTime(expected, left time.Duration) time.Duration {
	return max(minHedge, time.Duration(min(hedgeAfter*float64(expected), hedgeShare*float64(left))))
}

// hedge finds a second target that is free now.
func (g *Gateway) hedge(j *job, first placing.Decision) (placing.Decision, bool) {
	if g.sendsOnce(j) || g.options.Balancer.Waiting() > 0 || !g.budgetOf(j.service).Take() {
		return placing.Decision{}, false
	}
	j.ask.Tried = append(j.ask.Tried, first.Target)
	d, w := g.options.Balancer.Place(time.Now(), &j.ask)
	if w != nil {
		if late, decided := g.options.Balancer.Cancel(w); decided {
			d = late
		}
	}
	if d.Target == nil {
		g.budgetOf(j.service).Give()
		return d, false
	}
	return d, true
}

// exchange is one sending, noted.
func (g *Gateway) exchange(ctx context.Context, j *job, d placing.Decision) try {
	t := g.exchangeOnce(ctx, j, d)
	g.note(j, t)
	return t
}

// note takes a sending into the request's account.
func (g *Gateway) note(j *job, t try) {
	j.sent++
	if t.code != result.TargetShed || !t.decision.FailuresAreWidespread {
		j.ask.Tried = append(j.ask.Tried, t.decision.Target)
	}
	j.mayHaveRun = j.mayHaveRun || !t.notRun
	j.log.targets = append(j.log.targets, t.decision.Target.ID)
	end := "answered"
	if t.err != nil {
		end = t.err.Error()
	} else if t.notRun {
		end = "not run"
	}
	j.log.ends = append(j.log.ends, end)
	j.log.tookMS = append(j.log.tookMS, t.took.Milliseconds())
	g.options.Metrics.AttemptEnded(j.service, t.code.String())
	g.noteAnswer(j, t)
	g.noteUnanswered(j, t)
}

// exchangeOnce sends a request once and ends it at the board.
func (g *Gateway) exchangeOnce(ctx context.Context, j *job, d placing.Decision) try {
	began := time.Now()
	t := g.exchangeOn(ctx, j, d)
	t.took = time.Since(began)
	g.options.Balancer.Done(time.Now(), d, j.class, g.endOf(ctx, t), t.took)
	g.options.InFlightChanged()
	return t
}

func (g *Gateway) exchangeOn(ctx context.Context, j *job, d placing.Decision) try {
	p := g.poolOf(d.Target)
	conn, err := p.Get(ctx)
	if err != nil {
		return try{decision: d, notRun: true, code: result.ConnectFailed, err: err}
	}
	defer p.Put(conn)
	answer, err := g.exchangeBy(ctx, j, d, conn)
	if answer != nil {
		setIdle(p, answer.Header)
	}
	return g.classify(d, answer, err)
}

var errPanic = errors.New("gateway: exchange panicked")

// exchangeBy is one exchange. One that panics, in a goroutine of its own, fails like one whose
// connection is lost: otherwise its request would end one VM after the other.
func (g *Gateway) exchangeBy(ctx context.Context, j *job, d placing.Decision, conn *forward.Conn) (answer *forward.Answer, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			g.options.Logger.WithFields(logrus.Fields{"id": j.id, "panic": cause, "stack": string(debug.Stack())}).
				Error("gateway: exchange panicked")
			answer, err = nil, errPanic
		}
	}()
	out := j.out
	out.Header = j.out.Header.Clone()
	out.Header.Set(g.options.Fields.ExpectTarget, d.Target.ID)
	return conn.Exchange(ctx, &out)
}

// setIdle keeps idle connections for less time than the target says it does.
func setIdle(p *pool.Pool, h http.Header) {
	if limit, ok := keepAlive(h); ok {
		p.SetMaxIdle(limit)
	}
}

// classify tells what an exchange showed.
func (g *Gateway) classify(d placing.Decision, answer *forward.Answer, err error) try {
	t := try{decision: d, answer: answer}
	var failed *forward.Error
	switch {
	case errors.As(err, &failed):
		t.code, t.err, t.notRun = failed.Code, err, failed.NotRun()
	case err != nil:
		t.code, t.err = result.ConnectionLost, err
	case answer.Header.Get(g.options.Fields.NotRun) != "" || answer.Status == http.StatusMisdirectedRequest:
		t.code, t.notRun, t.answer = result.TargetShed, true, nil
	case answer.Header.Get(g.options.Fields.Stamp) == "" && answer.Status < http.StatusBadRequest:
		// Only the target's own mark shows that a success is one.
		t.code, t.answer, t.err = result.AnswerTruncated, nil, errNoStamp
	}
	return t
}

var errNoStamp = errors.New("gateway: success without the target's mark")

// endOf tells the board how a sending ended.
func (g *Gateway) endOf(ctx context.Context, t try) placing.Outcome {
	switch {
	case t.answer != nil && isServerError(t.answer):
		return placing.Failed
	case t.answer != nil:
		return placing.Answered
	case t.code == result.TargetShed:
		return placing.Shed
	case ctx.Err() != nil || t.code == result.DeadlineBeforeSend || t.code == result.CallerGone:
		return placing.Cancelled
	case t.code == result.ConnectFailed && !errors.Is(t.err, pool.ErrFull):
		return placing.Unreachable
	}
	return placing.Failed
}

func isServerError(a *forward.Answer) bool { return a.Status >= http.StatusInternalServerError }

// judge decides whether a request has ended, or is sent again.
func (g *Gateway) judge(ctx context.Context, j *job, t try) (outcome, bool) {
	repeatable := j.route.Kind == site.Idempotent
	if t.answer != nil {
		if !isServerError(t.answer) || !repeatable {
			return outcome{code: result.OK, answer: t.answer}, true
		}
		j.last = t.answer
	}
	if ctx.Err() != nil {
		return g.givenUp(ctx, j), true
	}
	end := outcome{code: t.code, why: "sending failed"}
	if t.answer != nil {
		end = outcome{code: result.OK, answer: t.answer}
	} else if t.notRun {
		end.retryAfter = shedRetry
	}
	if !t.notRun && !repeatable {
		return end, true
	}
	if !t.notRun && j.sent >= j.route.MaxAttempts || j.sent >= maxSendings {
		return end, true
	}
	if g.sendsOnce(j) && (j.onTrial || !t.notRun) {
		return end, true
	}
	if t.code != result.ConnectFailed && !g.budgetOf(j.service).Take() {
		return end, true
	}
	return outcome{}, false
}

// shedRetry is when a target that shed a request should have room.
const shedRetry = 200 * time.Millisecond
