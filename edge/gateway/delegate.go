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

// Header fields between VMs. They never reach a caller or a target.
const (
	// fieldVersion carries, on a delegated request, the version of the configuration that
	// the sender matched it with.
	fieldVersion = "Yucca-Delegated-Version"
	// fieldAccount and fieldKeyDigest carry, on a delegated request, the account that the sender
	// has established and the digest of its key.
	fieldAccount   = "Yucca-Delegated-Account"
	fieldKeyDigest = "Yucca-Delegated-Key-Digest"
	// fieldOwnerMillis carries, on an owner's answer, the owner's processing time.
	fieldOwnerMillis = "Yucca-Delegated-Took-Ms"
	// fieldLeavingTarget carries, on an owner's answer, the incarnation of the target that has given it
	// and has stated that it leaves.
	fieldLeavingTarget = "Yucca-Delegated-Leaving-Target"
	// fieldDeclined is set on the answer of an owner that declines the request.
	fieldDeclined = "Yucca-Declined"
)

const (
	// ownerConnections bounds the connections to one owner.
	ownerConnections = 64
	// ownerRTT is the round-trip time within a failure domain.
	ownerRTT = 2 * time.Millisecond
)

// IsDelegated reports whether a request on the peer port is a caller's request that another
// VM delegated.
func IsDelegated(r *serve.Request) bool { return r.Header.Get(fieldVersion) != "" }

// HandleDelegated implements serve.Handler for requests that other VMs delegate. It declines
// a request that was matched with another version of the configuration: callers of one VM
// would otherwise see it alternate between versions, depending on the owner.
func (g *Gateway) HandleDelegated(ctx context.Context, in *serve.Request) *serve.Response {
	version, err := strconv.ParseUint(in.Header.Get(fieldVersion), 10, 64)
	table := g.table.Load()
	if err != nil || table == nil || table.Version != version || g.leaving.Load() {
		return declinedResponse()
	}
	r := &request{in: in, id: in.Header.Get(g.options.Fields.RequestID), fromPeer: true, accounts: g.accounts.Load()}
	if !g.resolveIdentity(r) {
		return declinedResponse()
	}
	in.Header.Del(fieldVersion)
	end := g.handle(ctx, r, table)
	g.record(r, end)
	a := g.response(end)
	if a != nil {
		a.Header[result.HeaderResult] = []string{strconv.Itoa(int(end.code))}
		a.Header[fieldOwnerMillis] = []string{strconv.FormatInt(time.Since(in.Arrived).Milliseconds(), 10)}
		a.Header.Del(fieldLeavingTarget)
		if end.target != nil && g.options.Balancer.HasStatedToLeave(end.target) {
			a.Header[fieldLeavingTarget] = []string{strconv.FormatUint(end.target.Incarnation, incarnationBase)}
		}
	}
	return a
}

// resolveIdentity sets the account that the sender of a delegated request has established. It
// returns false if that account does not hold the key here: the sender then decides.
func (g *Gateway) resolveIdentity(r *request) bool {
	name := r.in.Header.Get(fieldAccount)
	if name == "" {
		return true
	}
	var ok bool
	r.identity, ok = r.accounts.Resolve(name, r.in.Header.Get(fieldKeyDigest))
	return ok
}

func declinedResponse() *serve.Response {
	a := serve.PlainText(http.StatusServiceUnavailable, "")
	a.Header[fieldDeclined] = []string{"1"}
	return a
}

// ownerOf returns the VM that places a request, nil for this one. Large requests are not
// delegated, to save the bandwidth of the VMs.
func (g *Gateway) ownerOf(r *request) *owners.Owner {
	if len(r.in.Body) > 0 && r.placement.Allowed != nil && !r.placement.Allowed(g.options.Region) {
		// The body may only go to regions that may run the request.
		return nil
	}
	if r.fromPeer || r.onTrial || !r.placement.HasKey || r.placement.Large || g.options.Owners == nil {
		return nil
	}
	return g.options.Owners.Lookup(r.placement.Key, r.in.Arrived)
}

// delegate sends a request to the owner of its key. It returns false if this VM should place
// the request itself: the request has not run, or may run again. Waiting for an owner that
// becomes unresponsive ends early for idempotent requests only.
func (g *Gateway) delegate(ctx context.Context, r *request, o *owners.Owner) (outcome, bool) {
	began := time.Now()
	answer, err := g.sendToOwner(ctx, r, o)
	took := time.Since(began)
	g.options.Metrics.RequestDelegated(delegationResult(answer, err))
	if err != nil {
		g.options.Logger.WithError(err).WithField("id", r.id).WithField("owner", o.Name).
			WithField("ms", took.Milliseconds()).Warn("gateway: owner did not answer")
		return g.handleOwnerFailure(ctx, r, o, err)
	}
	if answer.Header.Get(fieldDeclined) != "" {
		return outcome{}, false
	}
	g.observeOwner(o, answer)
	r.log.owner, r.log.ownerDuration = o.Name, took
	if own, ok := ownerTime(answer); ok {
		o.RecordOverhead(took-own, time.Now())
	}
	return delegatedOutcome(answer), true
}

// handleOwnerFailure decides what to do with a request whose owner did not answer; its results
// are those of delegate.
func (g *Gateway) handleOwnerFailure(ctx context.Context, r *request, o *owners.Owner, err error) (outcome, bool) {
	var failed *forward.Error
	notSent := !errors.As(err, &failed) || failed.NotRun()
	r.mayHaveRun = !notSent
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return g.contextOutcome(ctx, r), true
	case !now.Before(r.deadline):
		// The connection's deadline may expire just before the context does.
		return deadlineOutcome(r), true
	}
	o.Avoid(now)
	if notSent {
		return outcome{}, false
	}
	if r.route.Kind != site.Idempotent || !g.mayRepeat(r) || !g.budgetOf(r.service).Take() {
		return outcome{code: result.ConnectionLost, reason: "connection to owner lost"}, true
	}
	// The owner may have sent it to a target, so allow one more attempt.
	r.attempts = max(1, r.route.MaxAttempts-1)
	return outcome{}, false
}

func (g *Gateway) sendToOwner(ctx context.Context, r *request, o *owners.Owner) (*forward.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.route.Kind == site.Idempotent {
		stop := context.AfterFunc(o.Context(), cancel)
		defer stop()
	}
	p := g.ownerPool(o)
	conn, err := p.Get(ctx)
	if err != nil {
		return nil, err
	}
	defer p.Put(conn)
	out := r.out
	out.Header = r.out.Header.Clone()
	out.Header.Set(fieldVersion, strconv.FormatUint(r.version, 10))
	if r.identity.Account != nil {
		out.Header.Set(fieldAccount, r.identity.Account.Name)
		out.Header.Set(fieldKeyDigest, r.identity.Digest.String())
	}
	return conn.Exchange(ctx, &out)
}

// ownerPool returns the connection pool of an owner.
func (g *Gateway) ownerPool(o *owners.Owner) *pool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.ownerPools[o.PeerAddress]
	if p == nil {
		p = pool.New(o.PeerAddress, g.options.Dial(ownerRTT), ownerConnections)
		g.ownerPools[o.PeerAddress] = p
	}
	return p
}

// delegatedOutcome converts an owner's answer to an outcome.
func delegatedOutcome(a *forward.Response) outcome {
	code := result.OK
	if number, err := strconv.Atoi(a.Header.Get(result.HeaderResult)); err == nil {
		code = result.Code(number)
	}
	if code == result.OK {
		// The answer of a target is passed on without the fields of the VMs.
		a.Header.Del(result.HeaderResult)
	}
	a.Header.Del(fieldOwnerMillis)
	a.Header.Del(fieldLeavingTarget)
	return outcome{code: code, answer: a}
}

// observeOwner records that an owner's answer is of a target that leaves. Reports of the owner tell it
// too, but may be lost.
func (g *Gateway) observeOwner(o *owners.Owner, answer *forward.Response) {
	incarnation, err := strconv.ParseUint(answer.Header.Get(fieldLeavingTarget), incarnationBase, 64)
	if err == nil && g.options.Balancer.TargetLeaves(time.Now(), incarnation) {
		g.options.Logger.WithField("incarnation", incarnation).WithField("from", o.Name).Info("gateway: target leaves by an owner's answer")
	}
}

// incarnationBase is the base of incarnations in header fields.
const incarnationBase = 36

// ownerTime returns the owner's processing time, if the answer states it.
func ownerTime(a *forward.Response) (time.Duration, bool) {
	millis, err := strconv.ParseInt(a.Header.Get(fieldOwnerMillis), 10, 64)
	return time.Duration(millis) * time.Millisecond, err == nil
}

// delegationResult returns the metric tag for the end of a delegation.
func delegationResult(a *forward.Response, err error) string {
	switch {
	case err != nil:
		return "failed"
	case a.Header.Get(fieldDeclined) != "":
		return "declined"
	}
	return "answered"
}
