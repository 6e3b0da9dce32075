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

// request is one request on its way.
type request struct {
	in        *serve.Request
	id        string
	route     *route.Entry
	service   string
	class     *placing.Class
	version   uint64
	placement placing.Request
	// deadline is when the caller, or the route's timeout, ends it.
	deadline time.Time
	out      forward.Request
	// attempts counts the sendings to targets, mayHaveRun tells that one may have run.
	attempts   int
	mayHaveRun bool
	// lastFailure is the lastFailure failure that a target answered itself.
	lastFailure *forward.Answer
	// fromPeer tells that another VM has passed the request on to this one.
	fromPeer bool
	// fingerprint is nil until it is needed, see Gateway.fingerprint.
	fingerprint *quarantine.Fingerprint
	// onTrial tells that this VM claimed the request's trial: it is sent once.
	onTrial bool
	log     requestLog
}

// outcome is how a request ended.
type outcome struct {
	code   result.Code
	answer *forward.Answer
	// retryAfter is when there should be room, for refusals.
	retryAfter time.Duration
	reason     string
}

// Handle implements serve.Handler.
func (g *Gateway) Handle(ctx context.Context, in *serve.Request) *serve.Answer {
	r := &request{in: in, id: in.Header.Get(g.options.Fields.RequestID)}
	end := g.handle(ctx, r, g.table.Load())
	g.record(r, end)
	return g.answer(end)
}

// handle works on a request by a table of routes, nil for none yet.
func (g *Gateway) handle(ctx context.Context, r *request, table *route.Table) outcome {
	if table == nil {
		return outcome{code: result.NoPlan, retryAfter: configRetryAfter, reason: "no configuration yet"}
	}
	if g.leaving.Load() {
		return outcome{code: result.NodeLeaving, reason: "leaving"}
	}
	r.version = table.Version
	r.route = table.Match(r.in.Host, r.in.Path)
	if r.route == nil {
		return outcome{code: result.UnknownService, reason: "no route"}
	}
	if refused := g.prepare(r); refused.code != result.OK {
		return refused
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if refused, ok := g.admit(ctx, r); !ok {
		return refused
	}
	if owner := g.ownerOf(r); owner != nil {
		if end, done := g.delegate(ctx, r, owner); done {
			return end
		}
	}
	return g.run(ctx, r)
}

// prepare works out what the decisions read and what is sent.
func (g *Gateway) prepare(r *request) outcome {
	left, ok := g.timeLeft(r)
	if !ok {
		return outcome{code: result.BadDeadline, reason: "deadline not understood"}
	}
	r.deadline = r.in.Arrived.Add(left)
	r.service, r.class = r.route.NextService()
	key := r.in.Header.Get(g.options.Fields.Affinity)
	hasKey := key != "" && r.route.Sticky
	if !hasKey {
		// Requests without an affinity key are spread over all targets.
		key = r.id
	}
	r.placement = placing.Request{
		Service: r.service, Class: r.class,
		Key: placing.HashOf(r.route.Prefix + key), HasKey: hasKey,
		Large: isLarge(r), Priority: r.route.Priority,
		Objective: r.in.Arrived.Add(r.route.Objective), Deadline: r.deadline,
	}
	if len(r.route.Regions) > 0 {
		r.placement.Allowed = r.route.Allows
	}
	r.out = forward.Request{
		Method: r.in.Method, URI: r.in.Target, Host: r.in.Host, Header: r.in.Header.Clone(),
		Length: int64(len(r.in.Body)), Deadline: r.deadline, MaxAnswerBytes: g.options.MaxAnswerBytes,
		Dialect: &forward.Dialect{
			DeadlineField: g.options.Fields.Deadline, IDField: g.options.Fields.RequestID, ID: r.id,
			CloseDelimited: true,
		},
	}
	if len(r.in.Body) > 0 {
		r.out.Body = [][]byte{r.in.Body}
	}
	return outcome{}
}

// isLarge tells whether a request or its answer should stay in its region. A large
// answer from afar takes several round trips, and bytes between regions are scarce.
func isLarge(r *request) bool {
	return r.route.Upload || r.route.Download || len(r.in.Body) > largeBody
}

// timeLeft is how long the request may take from its arrival on.
func (g *Gateway) timeLeft(r *request) (time.Duration, bool) {
	left := defaultDeadline
	if text := r.in.Header.Get(g.options.Fields.Deadline); text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || millis <= 0 {
			return 0, false
		}
		left = time.Duration(millis*float64(time.Millisecond)) - deadlineMargin
	}
	if r.route.Timeout > 0 {
		left = min(left, r.route.Timeout)
	}
	return left, true
}

// answer renders an outcome.
func (g *Gateway) answer(end outcome) *serve.Answer {
	if end.code == result.CallerGone {
		return nil
	}
	if a := end.answer; a != nil {
		out := &serve.Answer{Status: a.Status, Header: a.Header, Body: a.Body, NoBody: a.NoBody}
		if length := a.LengthField(); len(length) > 0 {
			out.Length = length[0]
		}
		return out
	}
	info := result.InfoOf(end.code)
	status := info.HTTP
	if info.Outcome == result.NotRun && info.Retry {
		// Callers repeat any request after 503, which says that it has not run.
		status = http.StatusServiceUnavailable
	}
	a := serve.Plain(status, info.Name+"\n")
	a.Header[result.HeaderResult] = []string{strconv.Itoa(int(end.code))}
	a.Header[result.HeaderOutcome] = []string{info.Outcome.String()}
	if status == http.StatusServiceUnavailable {
		a.Header["Retry-After"] = []string{strconv.FormatFloat(end.retryAfter.Seconds(), 'f', 3, 64)}
	}
	return a
}

// requestLog is what happened to a request, for its log line: what decided its last
// placing, and each sending.
type requestLog struct {
	waited   time.Duration
	decision placing.Decision
	targets  []string
	results  []string
	// durationsMS is how long each sending took, with the network, in milliseconds.
	durationsMS []int64
	hedged      bool
	// owner is the VM that decided on the request, if another one did, ownerTook how long
	// that took with the network.
	owner         string
	ownerDuration time.Duration
	// unanswered tells that a target may have begun the request and did not answer, verdict is
	// the last one on whether it may be sent.
	unanswered bool
	verdict    quarantine.Verdict
}

// addFields adds the trail to a log line.
func (t *requestLog) addFields(line logrus.Fields) {
	line["waited_ms"] = t.waited.Milliseconds()
	line["expected_ms"] = t.decision.Expected.Milliseconds()
	line["slots"], line["in_flight"] = t.decision.Slots, t.decision.InFlight
	if t.verdict.Status != quarantine.Clear {
		line["targets_ended"], line["evidence_age_ms"] = t.verdict.Targets, t.verdict.Age.Milliseconds()
	}
	if len(t.targets) == 0 {
		return
	}
	line["targets"], line["ends"], line["took_ms"], line["region"] = t.targets, t.results, t.durationsMS, t.decision.Region
	line["counts_age_ms"] = t.decision.CountsAge.Milliseconds()
	line["warm"], line["hedged"] = t.decision.Warm, t.hedged
}

// record counts a request and writes its line. The VM that decided on the request writes
// the inputs of the decision; the one that its caller asked counts it.
func (g *Gateway) record(r *request, end outcome) {
	took := time.Since(r.in.Arrived)
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	if !r.fromPeer {
		g.options.Metrics.RequestEnded(name, r.service, int(end.code), took)
	}
	fields := logrus.Fields{
		"id": r.id, "route": name, "service": r.service, "version": r.version, "result": end.code.String(),
		"ms": took.Milliseconds(),
	}
	if r.log.owner != "" {
		fields["owner"], fields["owner_ms"] = r.log.owner, r.log.ownerDuration.Milliseconds()
		g.options.Logger.WithFields(fields).Info("gateway: request delegated")
		return
	}
	fields["sent"] = r.attempts
	if !r.deadline.IsZero() {
		fields["left_ms"] = r.deadline.Sub(r.in.Arrived).Milliseconds()
		fields["objective_ms"] = r.route.Objective.Milliseconds()
	}
	if r.placement.HasKey {
		fields["affinity_key"] = strconv.FormatUint(r.placement.Key, 36)
	}
	if r.log.unanswered || r.log.verdict.Status != quarantine.Clear {
		fields["fingerprint"] = g.fingerprint(r).String()
	}
	r.log.addFields(fields)
	if end.answer != nil {
		fields["status"] = end.answer.Status
	} else {
		fields["why"] = end.reason
		fields["retry_after_ms"] = end.retryAfter.Milliseconds()
	}
	g.options.Logger.WithFields(fields).Info("gateway: request ended")
}
