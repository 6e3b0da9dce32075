package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// Fields between VMs. They never reach a caller or a target.
const (
	// fieldVersion is on a delegated request: the version of the configuration by which
	// the sender matched it.
	fieldVersion = "Yucca-Delegated-Version"
	// fieldTook is on an owner's answer: the milliseconds that it took itself.
	fieldTook = "Yucca-Delegated-Took-Ms"
	// fieldDeclined is on the answer of an owner that did not take the request.
	fieldDeclined = "Yucca-Declined"
)

const (
	// ownerConnections bounds the connections to one owner.
	ownerConnections = 64
	// ownerDelay is the network's within a failure domain, there and back.
	ownerDelay = 2 * time.Millisecond
)

// IsDelegated reports whether a request between VMs is one of a caller.
func IsDelegated(r *serve.Request) bool { return r.Header.Get(fieldVersion) != "" }

// HandleDelegated handles a request that another VM passed on, as serve.Handler does.
// It declines a request that was matched by another version of the configuration.
//
// Guard against callers of one VM whose requests are decided by several owners: one owner
// has the new configuration, the next one has not, and the VM seems to go back to the old
// one. The guard holds because only an owner at the sender's version takes a request; the
// sender handles all others itself.
func (g *Gateway) HandleDelegated(ctx context.Context, in *serve.Request) *serve.Response {
	version, err := strconv.ParseUint(in.Header.Get(fieldVersion), 10, 64)
	table := g.table.Load()
	if err != nil || table == nil || table.Version != version || g.leaving.Load() {
		return declined()
	}
	in.Header.Del(fieldVersion)
	j := &job{in: in, id: in.Header.Get(g.options.Fields.RequestID), forOther: true}
	end := g.handle(ctx, j, table)
	g.record(j, end)
	a := g.answer(end)
	if a != nil {
		a.Header[result.HeaderResult] = []string{strconv.Itoa(int(end.code))}
		a.Header[fieldTook] = []string{strconv.FormatInt(time.Since(in.Arrived).Milliseconds(), 10)}
	}
	return a
}

func declined() *serve.Response {
	a := serve.PlainText(http.StatusServiceUnavailable, "")
	a.Header[fieldDeclined] = []string{"1"}
	return a
}

// ownerOf returns the VM that decides on a request, nil for this one. Large bodies stay:
// the links of the VMs are narrow.
func (g *Gateway) ownerOf(j *job) *owners.Owner {
	if j.forOther || j.onTrial || !j.ask.HasKey || j.ask.Large || g.options.Owners == nil {
		return nil
	}
	return g.options.Owners.Lookup(j.ask.Key, j.in.Arrived)
}

// delegate has the owner of its key decide on a request. It returns false if this VM
// should do so itself: the request has not run, or may run once more.
//
// Guard against an owner that dies or is cut off with the request: callers would wait
// until their deadline. An owner that is unresponsive ends the wait for requests that may
// run twice; for others the outcome is unknown, and is told as such.
func (g *Gateway) delegate(ctx context.Context, j *job, o *owners.Owner) (outcome, bool) {
	began := time.Now()
	answer, err := g.askOwner(ctx, j, o)
	took := time.Since(began)
	g.options.Metrics.RequestDelegated(endOfDelegation(answer, err))
	if err != nil {
		g.options.Logger.WithError(err).WithField("id", j.id).WithField("owner", o.Name).
			WithField("ms", took.Milliseconds()).Warn("gateway: owner did not answer")
		return g.ownerFailed(ctx, j, o, err)
	}
	if answer.Header.Get(fieldDeclined) != "" {
		return outcome{}, false
	}
	j.log.owner, j.log.ownerTook = o.Name, took
	if own, ok := ownTime(answer); ok {
		o.RecordOverhead(took-own, time.Now())
	}
	return delegatedOutcome(answer), true
}

// ownerFailed decides what comes of a request whose owner did not answer, as delegate does.
func (g *Gateway) ownerFailed(ctx context.Context, j *job, o *owners.Owner, err error) (outcome, bool) {
	var failed *forward.Error
	notSent := !errors.As(err, &failed) || failed.NotRun()
	j.mayHaveRun = !notSent
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return g.givenUp(ctx, j), true
	case !now.Before(j.deadline):
		// The connection's own deadline may end the wait just before the context does.
		return timeOver(j), true
	}
	o.Avoid(now)
	if notSent {
		return outcome{}, false
	}
	if j.route.Kind != site.Idempotent || !g.budgetOf(j.service).Take() {
		return outcome{code: result.ConnectionLost, why: "owner lost"}, true
	}
	// The owner may have sent it to a target, so that one more sending is left.
	j.sent = max(1, j.route.MaxAttempts-1)
	return outcome{}, false
}

// askOwner sends a request to its owner.
func (g *Gateway) askOwner(ctx context.Context, j *job, o *owners.Owner) (*forward.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if j.route.Kind == site.Idempotent {
		stop := context.AfterFunc(o.Context(), cancel)
		defer stop()
	}
	p := g.ownerPool(o)
	conn, err := p.Get(ctx)
	if err != nil {
		return nil, err
	}
	defer p.Put(conn)
	out := j.out
	out.Header = j.out.Header.Clone()
	out.Header.Set(fieldVersion, strconv.FormatUint(j.version, 10))
	return conn.Exchange(ctx, &out)
}

// ownerPool returns the connections to an owner.
func (g *Gateway) ownerPool(o *owners.Owner) *pool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.ownerPools[o.PeerAddress]
	if p == nil {
		p = pool.New(o.PeerAddress, g.options.Dial(ownerDelay), ownerConnections)
		g.ownerPools[o.PeerAddress] = p
	}
	return p
}

// delegatedOutcome is what an owner's answer says.
func delegatedOutcome(a *forward.Answer) outcome {
	code := result.OK
	if number, err := strconv.Atoi(a.Header.Get(result.HeaderResult)); err == nil {
		code = result.Code(number)
	}
	if code == result.OK {
		// The answer is a target's own, with none of the VM's fields.
		a.Header.Del(result.HeaderResult)
	}
	a.Header.Del(fieldTook)
	return outcome{code: code, answer: a}
}

// ownTime is how long an owner took itself for its answer, if it says so.
func ownTime(a *forward.Answer) (time.Duration, bool) {
	millis, err := strconv.ParseInt(a.Header.Get(fieldTook), 10, 64)
	return time.Duration(millis) * time.Millisecond, err == nil
}

// endOfDelegation names how a delegation ended, for the counters.
func endOfDelegation(a *forward.Answer, err error) string {
	switch {
	case err != nil:
		return "failed"
	case a.Header.Get(fieldDeclined) != "":
		return "declined"
	}
	return "answered"
}
