package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/route"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

const (
	// defaultDeadline is for callers that name none.
	defaultDeadline = 10 * time.Second
	// deadlineMargin is how long before the caller gives up its answer leaves: it
	// needs a few milliseconds to get there.
	deadlineMargin = 10 * time.Millisecond
	// largeBody is the length from which on a body prefers the own failure domain.
	largeBody = 16 << 10
	// configRetryAfter is when a VM without a configuration should have one.
	configRetryAfter = 300 * time.Millisecond
)

// job is one request on its way.
type job struct {
	in      *serve.Request
	id      string
	route   *route.Entry
	service string
	class   *placing.Class
	version uint64
	ask     placing.Request
	// deadline is when the caller, or the route's timeout, ends it.
	deadline time.Time
	out      forward.Request
	// sent counts the sendings to targets, mayHaveRun tells that one may have run.
	sent       int
	mayHaveRun bool
	// last is the last failure that a target answered itself.
	last *forward.Answer
	// forOther tells that another VM has passed the request on to this one.
	forOther bool
	// fingerprint is nil until it is needed, see Gateway.fingerprint.
	fingerprint *quarantine.Fingerprint
	// onTrial tells that this VM claimed the request's trial: it is sent once.
	onTrial bool
	log     trail
}

// outcome is how a request ended.
type outcome struct {
	code   result.Code
	answer *forward.Answer
	// retryAfter is when there should be room, for refusals.
	retryAfter time.Duration
	why        string
}

// Handle implements serve.Handler.
func (g *Gateway) Handle(ctx context.Context, in *serve.Request) *serve.Response {
	j := &job{in: in, id: in.Header.Get(g.options.Fields.RequestID)}
	end := g.handle(ctx, j, g.table.Load())
	g.record(j, end)
	return g.answer(end)
}

// handle works on a request by a table of routes, nil for none yet.
func (g *Gateway) handle(ctx context.Context, j *job, table *route.Table) outcome {
	if table == nil {
		return outcome{code: result.NoPlan, retryAfter: configRetryAfter, why: "no configuration yet"}
	}
	if g.leaving.Load() {
		return outcome{code: result.NodeLeaving, why: "leaving"}
	}
	j.version = table.Version
	j.route = table.Match(j.in.Host, j.in.Path)
	if j.route == nil {
		return outcome{code: result.UnknownService, why: "no route"}
	}
	if refused := g.prepare(j); refused.code != result.OK {
		return refused
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if refused, ok := g.admit(ctx, j); !ok {
		return refused
	}
	if owner := g.ownerOf(j); owner != nil {
		if end, done := g.delegate(ctx, j, owner); done {
			return end
		}
	}
	return g.run(ctx, j)
}

// prepare works out what the decisions read and what is sent.
func (g *Gateway) prepare(j *job) outcome {
	left, ok := g.timeLeft(j)
	if !ok {
		return outcome{code: result.BadDeadline, why: "deadline not understood"}
	}
	j.deadline = j.in.Arrived.Add(left)
	j.service, j.class = j.route.NextService()
	key := j.in.Header.Get(g.options.Fields.Affinity)
	hasKey := key != "" && j.route.Sticky
	if !hasKey {
		// Requests without an affinity key are spread over all targets.
		key = j.id
	}
	j.ask = placing.Request{
		Service: j.service, Class: j.class,
		Key: placing.HashOf(j.route.Prefix + key), HasKey: hasKey,
		Large: isLarge(j), Priority: j.route.Priority,
		Objective: j.in.Arrived.Add(j.route.Objective), Deadline: j.deadline,
	}
	if len(j.route.Regions) > 0 {
		j.ask.Allowed = j.route.Allows
	}
	j.out = forward.Request{
		Method: j.in.Method, URI: j.in.Target, Host: j.in.Host, Header: j.in.Header.Clone(),
		Length: int64(len(j.in.Body)), Deadline: j.deadline, MaxAnswerBytes: g.options.MaxAnswerBytes,
		Dialect: &forward.Dialect{
			DeadlineField: g.options.Fields.Deadline, IDField: g.options.Fields.RequestID, ID: j.id,
			CloseDelimited: true,
		},
	}
	if len(j.in.Body) > 0 {
		j.out.Body = [][]byte{j.in.Body}
	}
	return outcome{}
}

// isLarge tells whether a request or its answer should stay in its region. A large
// answer from afar takes several round trips, and bytes between regions are scarce.
func isLarge(j *job) bool {
	return j.route.Upload || j.route.Download || len(j.in.Body) > largeBody
}

// timeLeft is how long the request may take from its arrival on.
func (g *Gateway) timeLeft(j *job) (time.Duration, bool) {
	left := defaultDeadline
	if text := j.in.Header.Get(g.options.Fields.Deadline); text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || millis <= 0 {
			return 0, false
		}
		left = time.Duration(millis*float64(time.Millisecond)) - deadlineMargin
	}
	if j.route.Timeout > 0 {
		left = min(left, j.route.Timeout)
	}
	return left, true
}

// answer renders an outcome.
func (g *Gateway) answer(end outcome) *serve.Response {
	if end.code == result.CallerGone {
		return nil
	}
	if a := end.answer; a != nil {
		out := &serve.Response{Status: a.Status, Header: a.Header, Body: a.Body, NoBody: a.NoBody}
		if length := a.LengthField(); len(length) > 0 {
			out.ContentLength = length[0]
		}
		return out
	}
	info := result.InfoOf(end.code)
	status := info.HTTP
	if info.Outcome == result.NotRun && info.Retry {
		// Callers repeat any request after 503, which says that it has not run.
		status = http.StatusServiceUnavailable
	}
	a := serve.PlainText(status, info.Name+"\n")
	a.Header[result.HeaderResult] = []string{strconv.Itoa(int(end.code))}
	a.Header[result.HeaderOutcome] = []string{info.Outcome.String()}
	if status == http.StatusServiceUnavailable {
		a.Header["Retry-After"] = []string{strconv.FormatFloat(end.retryAfter.Seconds(), 'f', 3, 64)}
	}
	return a
}

// trail is what happened to a request, for its log line: what decided its last
// placing, and each sending.
type trail struct {
	waited  time.Duration
	placed  placing.Decision
	targets []string
	ends    []string
	// tookMS is how long each sending took, with the network, in milliseconds.
	tookMS []int64
	hedged bool
	// owner is the VM that decided on the request, if another one did, ownerTook how long
	// that took with the network.
	owner     string
	ownerTook time.Duration
	// unanswered tells that a target may have begun the request and did not answer, verdict is
	// the last one on whether it may be sent.
	unanswered bool
	verdict    quarantine.Verdict
}

// fields adds the trail to a log line.
func (t *trail) fields(to logrus.Fields) {
	to["waited_ms"] = t.waited.Milliseconds()
	to["expected_ms"] = t.placed.Expected.Milliseconds()
	to["slots"], to["in_flight"] = t.placed.Slots, t.placed.InFlight
	if t.verdict.Status != quarantine.Clear {
		to["targets_ended"], to["evidence_age_ms"] = t.verdict.Targets, t.verdict.Age.Milliseconds()
	}
	if len(t.targets) == 0 {
		return
	}
	to["targets"], to["ends"], to["took_ms"], to["region"] = t.targets, t.ends, t.tookMS, t.placed.Region
	to["counts_age_ms"] = t.placed.CountsAge.Milliseconds()
	to["warm"], to["hedged"] = t.placed.Warm, t.hedged
}

// record counts a request and writes its line. The VM that decided on the request writes
// the inputs of the decision; the one that its caller asked counts it.
func (g *Gateway) record(j *job, end outcome) {
	took := time.Since(j.in.Arrived)
	name := ""
	if j.route != nil {
		name = j.route.Name
	}
	if !j.forOther {
		g.options.Metrics.RequestEnded(name, j.service, int(end.code), took)
	}
	fields := logrus.Fields{
		"id": j.id, "route": name, "service": j.service, "version": j.version, "result": end.code.String(),
		"ms": took.Milliseconds(),
	}
	if j.log.owner != "" {
		fields["owner"], fields["owner_ms"] = j.log.owner, j.log.ownerTook.Milliseconds()
		g.options.Logger.WithFields(fields).Info("gateway: request delegated")
		return
	}
	fields["sent"] = j.sent
	if !j.deadline.IsZero() {
		fields["left_ms"] = j.deadline.Sub(j.in.Arrived).Milliseconds()
		fields["objective_ms"] = j.route.Objective.Milliseconds()
	}
	if j.ask.HasKey {
		fields["affinity_key"] = strconv.FormatUint(j.ask.Key, 36)
	}
	if j.log.unanswered || j.log.verdict.Status != quarantine.Clear {
		fields["fingerprint"] = g.fingerprint(j).String()
	}
	j.log.fields(fields)
	if end.answer != nil {
		fields["status"] = end.answer.Status
	} else {
		fields["why"] = end.why
		fields["retry_after_ms"] = end.retryAfter.Milliseconds()
	}
	g.options.Logger.WithFields(fields).Info("gateway: request ended")
}
