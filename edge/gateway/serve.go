package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/accounts"
	"github.com/yuccaroute/yuccaroute/edge/logs"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/edge/returns"
	"github.com/yuccaroute/yuccaroute/edge/route"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/notrun"
)

const (
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 10 * time.Second
	// maxDeadline bounds stated deadlines, which may be infinite, to what a time.Duration holds.
	maxDeadline = 30 * 24 * time.Hour
	// deadlineMargin leaves time for the answer to reach the caller.
	deadlineMargin = 10 * time.Millisecond
	// largeBody is the length above which a body makes its request large, see isLarge.
	largeBody = 16 << 10
	// configRetryAfter is the Retry-After of a VM that waits for its first configuration.
	configRetryAfter = 300 * time.Millisecond
)

// request is a request in progress.
type request struct {
	in        *serve.Request
	id        string
	route     *route.Entry
	service   string
	class     *placing.Class
	version   uint64
	placement placing.Request
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// givesUp is the caller's deadline; zero if it has stated none.
	givesUp time.Time
	out     forward.Request
	// attempts counts the attempts at targets. attempted sums up those of this VM, at targets and through other VMs.
	attempts  int
	attempted notrun.Request
	// lastFailure has the last error response that a target returned, if any.
	lastFailure outcome
	// identity is the account of the request, by the index accounts. The account is nil if the
	// configuration has none, or the route is public and the caller sent no known key.
	identity accounts.Identity
	accounts *accounts.Index
	// admitted is set if the request was taken from the account's quota at this VM.
	admitted bool
	// fromPeer is set if another VM delegated the request to this one.
	fromPeer bool
	// fingerprint is computed on first use by Gateway.fingerprint.
	fingerprint *quarantine.Fingerprint
	// asked are the VMs that were asked in vain to place the request, relays counts the tries.
	// declinedFor is why the last one has declined, "" if it has not.
	asked       []*owners.Owner
	relays      int
	declinedFor string
	// elapsed is how long another VM had the request before this one.
	elapsed time.Duration
	// deposited is set if the request was counted in the retry budget.
	deposited bool
	// onTrial is set if this VM claimed the request's quarantine trial: it is sent once.
	onTrial bool
	log     requestLog
}

// outcome is the result of a request.
type outcome struct {
	code   result.Code
	answer *forward.Response
	// target has given the answer; nil if another VM passed it on.
	target *placing.Target
	// retryAfter is the time after which a refused request is worth retrying.
	retryAfter time.Duration
	reason     string
	// unreached is set if this VM reaches none of the targets.
	unreached bool
}

// Handle implements serve.Handler.
func (g *Gateway) Handle(ctx context.Context, in *serve.Request) *serve.Response {
	r := &request{in: in, id: in.Header.Get(g.options.Fields.RequestID)}
	end := g.finalOutcome(r, g.handle(ctx, r, g.table.Load()))
	g.returnQuota(r, end)
	g.record(r, end)
	a := g.response(end)
	if a != nil {
		a.AwaitedUntil = r.givesUp
	}
	return a
}

// handle processes a request; table is nil before the first configuration.
func (g *Gateway) handle(ctx context.Context, r *request, table *route.Table) outcome {
	if table == nil {
		return outcome{code: result.NoPlan, retryAfter: configRetryAfter, reason: "no configuration yet"}
	}
	if g.leaving.Load() {
		return leavingOutcome()
	}
	r.version = table.Version
	r.route = table.Match(r.in.Host, r.in.Path)
	if r.route == nil {
		return outcome{code: result.UnknownService, reason: "no route"}
	}
	if r.route.Fault != "" {
		return unusableRouteOutcome()
	}
	if refused, ok := g.identify(r); !ok {
		return refused
	}
	if r.id == "" {
		// Its answer could not be told from those to other requests; targets refuse it for the same reason.
		return outcome{code: result.BadRequest, reason: "no request ID"}
	}
	if refused := g.prepare(r); refused.code != result.OK {
		return refused
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if refused, ok := g.admit(ctx, r); !ok {
		return refused
	}
	if refused, ok := g.admitByQuota(ctx, r); !ok {
		return refused
	}
	if owner := g.ownerOf(r); owner != nil {
		if end, done := g.delegate(ctx, r, owner, byAffinity); done {
			return end
		}
	}
	return g.run(ctx, r)
}

// prepare fills in the placement request and the outgoing request.
func (g *Gateway) prepare(r *request) outcome {
	left, ok := g.timeLeft(r)
	if !ok {
		return outcome{code: result.BadDeadline, reason: "invalid deadline"}
	}
	r.deadline = r.in.Arrived.Add(left)
	r.service, r.class = r.route.NextService()
	key := r.in.Header.Get(g.options.Fields.Affinity)
	hasKey := key != "" && r.route.Sticky
	if !hasKey {
		// Hashing the request id spreads requests without an affinity key over all targets.
		key = r.id
	}
	r.placement = placing.Request{
		Service: r.service, Class: r.class,
		Key: placing.HashOf(r.route.Prefix + key), HasKey: hasKey,
		Large: isLarge(r), Priority: r.route.Priority,
		Objective: r.in.Arrived.Add(r.route.Objective - r.elapsed), Deadline: r.deadline, GivesUp: r.givesUp,
	}
	r.placement.Allowed = r.allowed()
	if r.identity.Account != nil {
		r.placement.Account = r.identity.Account.Name
		r.placement.AccountPriority = r.identity.Account.Priority
	}
	r.out = forward.Request{
		Method: r.in.Method, URI: r.in.Target, Host: r.in.Host, Header: r.in.Header.Clone(),
		Length: int64(len(r.in.Body)), Deadline: r.deadline,
		MaxResponseBytes: g.options.MaxAnswerBytes, Memory: g.options.AnswerMemory,
		Dialect: &forward.Dialect{
			DeadlineField: g.options.Fields.Deadline, IDField: g.options.Fields.RequestID, ID: r.id,
			CloseDelimited: true,
		},
	}
	g.setAccountFields(r, r.out.Header)
	if len(r.in.Body) > 0 {
		r.out.Body = [][]byte{r.in.Body}
	}
	return outcome{}
}

// isLarge reports whether a request should be placed nearby because it or its answer is
// large: that takes several round trips, and bandwidth between regions is scarce.
func isLarge(r *request) bool {
	return r.route.Upload || r.route.Download || len(r.in.Body) > largeBody
}

// timeLeft returns how long the request may take from its arrival, and false if its
// deadline header is invalid.
func (g *Gateway) timeLeft(r *request) (time.Duration, bool) {
	left := defaultDeadline
	if text := r.in.Header.Get(g.options.Fields.Deadline); text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || !(millis > 0) {
			return 0, false
		}
		left = time.Duration(min(millis*float64(time.Millisecond), float64(maxDeadline))) - deadlineMargin
		if !r.fromPeer {
			r.givesUp = r.in.Arrived.Add(left)
		}
	}
	if r.route.Timeout > 0 {
		left = min(left, r.route.Timeout-r.elapsed)
	}
	return left, true
}

// response converts an outcome to a response, nil if the caller is gone.
func (g *Gateway) response(end outcome) *serve.Response {
	if end.code == result.CallerGone {
		return nil
	}
	if a := end.answer; a != nil {
		out := &serve.Response{Status: a.Status, Header: a.Header, Body: a.Body, NoBody: a.NoBody}
		if length := a.ContentLengthHeader(); len(length) > 0 {
			out.ContentLength = length[0]
		}
		return out
	}
	info := result.InfoOf(end.code)
	status := info.HTTP
	if info.Outcome == result.NotRun && info.Retry && status != http.StatusTooManyRequests {
		// A 503 states that the request has not run, so callers retry any request after it.
		status = http.StatusServiceUnavailable
	}
	a := serve.PlainText(status, info.Name+"\n")
	a.Header[result.HeaderResult] = []string{strconv.Itoa(int(end.code))}
	a.Header[result.HeaderOutcome] = []string{info.Outcome.String()}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		a.Header["Retry-After"] = []string{strconv.FormatFloat(end.retryAfter.Seconds(), 'f', 3, 64)}
	}
	return a
}

// requestLog collects the log fields of a request: its last placement decision and the
// result of each attempt.
type requestLog struct {
	waited time.Duration
	// quotaWait is how long the request waited for its account's quota.
	quotaWait time.Duration
	decision  placing.Decision
	// region is where the request was last placed, refused or left waiting; "" for nowhere.
	region  string
	targets []string
	results []string
	// durationsMS holds the duration of each attempt, network included.
	durationsMS []int64
	exchanges   exchangeLog
	hedged      bool
	// delegated are the exchanges with other VMs.
	delegated exchangeLog
	// owner is the VM that the request was delegated to, if any, ownerDuration how long it
	// took, network included, reason why. from is the VM that has delegated it to this one.
	owner         string
	ownerDuration time.Duration
	reason        reason
	from          string
	// unanswered is set if a target may have started the request and did not answer; verdict
	// is the last quarantine verdict.
	unanswered bool
	verdict    quarantine.Verdict
}

// addFields adds the collected fields to a log line.
func (t *requestLog) addFields(line logrus.Fields) {
	line["waited_ms"] = t.waited.Milliseconds()
	line["expected_ms"] = t.decision.Expected.Milliseconds()
	line["slots"], line["in_flight"] = t.decision.Slots, t.decision.InFlight
	if t.verdict.Status != quarantine.Clear {
		line["targets_ended"], line["evidence_age_ms"] = t.verdict.Targets, t.verdict.Age.Milliseconds()
	}
	if t.decision.Promised > 0 {
		line["promised_ms"] = t.decision.Promised.Milliseconds()
	}
	if t.decision.HasAccountWork {
		line["account_work_ms"] = t.decision.AccountWork.Milliseconds()
	}
	if t.decision.Return != returns.New {
		line["promise"] = t.decision.Return.String()
	}
	if len(t.targets) == 0 {
		return
	}
	line["targets"], line["ends"], line["took_ms"], line["region"] = t.targets, t.results, t.durationsMS, t.decision.Region
	line["counts_age_ms"] = t.decision.CountsAge.Milliseconds()
	if t.decision.Pace > 0 {
		line["pace"], line["load_age_ms"] = t.decision.Pace, t.decision.LoadAge.Milliseconds()
	}
	line["warm"], line["hedged"] = t.decision.Warm, t.hedged
	t.exchanges.addFields(line)
}

// record counts a request and logs it. Only the VM that the caller connected to counts it;
// only the VM that placed it logs the inputs of the decision.
func (g *Gateway) record(r *request, end outcome) {
	took := time.Since(r.in.Arrived)
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	if !r.fromPeer {
		g.options.Metrics.RequestEnded(name, r.service, r.accountName(), int(end.code), took)
	}
	fields := logrus.Fields{
		"id": r.id, "route": name, "service": r.service, "version": r.version, "result": end.code.String(),
		"ms": took.Milliseconds(),
	}
	if a := r.accountName(); a != "" {
		fields["account"] = a
	}
	if !r.fromPeer && r.log.quotaWait > 0 {
		fields["quota_wait_ms"] = r.log.quotaWait.Milliseconds()
	}
	if r.log.owner != "" {
		fields["owner"], fields["owner_ms"] = r.log.owner, r.log.ownerDuration.Milliseconds()
		fields["reason"], fields["declined"], fields["sent"] = r.log.reason, r.relays, r.attempts
		r.log.delegated.addFields(fields)
		g.logEnd(r, end, fields, "gateway: request delegated")
		return
	}
	fields["sent"] = r.attempts
	if r.log.from != "" {
		fields["from"] = r.log.from
	}
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
		// What this VM declines, the sender places elsewhere or refuses itself.
		declined := r.fromPeer && end.unreached && !r.attempted.MayHaveRun()
		if result.InfoOf(end.code).Outcome == result.NotRun && !declined {
			g.options.Metrics.RequestRefused(refusals.Refusal{Service: r.service, Region: r.log.region, Account: r.accountName(), Reason: end.reason})
		}
	}
	g.logEnd(r, end, fields, "gateway: request ended")
}

// logEnd logs the end of a request. Lines of requests that were refused, failed or were sent more than once are kept
// when lines are dropped.
func (g *Gateway) logEnd(r *request, end outcome, fields logrus.Fields, message string) {
	line := g.options.Logger.WithFields(fields)
	if end.code != result.OK || r.attempts > 1 || r.relays > 0 || !r.log.exchanges.isPlain() || !r.log.delegated.isPlain() {
		line = logs.Keep(line)
	}
	line.Info(message)
}
