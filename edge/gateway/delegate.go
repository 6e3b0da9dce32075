package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/logs"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/notrun"
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
	// fieldReason carries, on a delegated request, why it was delegated, and fieldFrom the name of the
	// sender. A request that was delegated is not delegated again.
	fieldReason = "Yucca-Delegated-Reason"
	fieldFrom   = "Yucca-Delegated-From"
	// fieldAttempts and fieldElapsed carry, on a delegated request, how many targets the sender has sent
	// it to, and how many milliseconds it has had the request.
	fieldAttempts = "Yucca-Delegated-Attempts"
	fieldElapsed  = "Yucca-Delegated-Elapsed-Ms"
	// fieldGivesUp carries, on a delegated request, in how many milliseconds the caller stops waiting, if
	// it has stated that. The request's own deadline may be earlier.
	fieldGivesUp = "Yucca-Delegated-Gives-Up-Ms"
	// fieldOwnerMillis carries, on an owner's answer, the owner's processing time.
	fieldOwnerMillis = "Yucca-Delegated-Took-Ms"
	// fieldLeavingTarget carries, on an owner's answer, the incarnation of the target that has given it
	// and has stated that it leaves.
	fieldLeavingTarget = "Yucca-Delegated-Leaving-Target"
	// fieldDeclined carries, on the answer of a VM that declines the request, why.
	fieldDeclined = "Yucca-Declined"
)

// delegatedFields are those of a delegated request.
var delegatedFields = []string{fieldVersion, fieldAccount, fieldKeyDigest, fieldReason, fieldFrom, fieldAttempts, fieldElapsed, fieldGivesUp}

// Reasons to decline a delegated request.
const (
	// otherVersion: it was matched with another version of the configuration.
	otherVersion = "version"
	// otherAccount: the account does not hold the key here.
	otherAccount = "account"
	vmLeaving    = "leaving"
	vmBusy       = "busy"
	// notReached: this VM reaches none of the targets either.
	notReached = "unreached"
	// suspected: this VM is about to find out whether it reaches them.
	suspected = "suspected"
	// notRead: the request was refused before it was read, for example for lack of memory.
	notRead = "not-read"
)

const (
	// ownerConnections bounds the connections to one owner.
	ownerConnections = 64
	// ownerRTT is the round-trip time within a region.
	ownerRTT = 2 * time.Millisecond
)

// RefuseUnread makes the server for other VMs name the requests that it refuses unread, and tell that it has.
func (g *Gateway) RefuseUnread(o *serve.Options) {
	o.IDField, o.RefusedHeader = g.options.Fields.RequestID, http.Header{fieldDeclined: {notRead}}
}

// IsDelegated reports whether a request on the peer port is a caller's request that another
// VM delegated.
func IsDelegated(r *serve.Request) bool { return r.Header.Get(fieldVersion) != "" }

// HandleDelegated implements serve.Handler for requests that other VMs delegate. Each answer names its request.
func (g *Gateway) HandleDelegated(ctx context.Context, in *serve.Request) *serve.Response {
	id := in.Header.Get(g.options.Fields.RequestID)
	a := g.handleDelegated(ctx, in)
	if a != nil {
		a.Header.Set(g.options.Fields.RequestID, id)
	}
	return a
}

// handleDelegated is HandleDelegated, whose answers may lack the ID. It declines a request that was
// matched with another version of the configuration: callers of one VM would otherwise see it alternate between
// versions, depending on the owner.
func (g *Gateway) handleDelegated(ctx context.Context, in *serve.Request) *serve.Response {
	version, err := strconv.ParseUint(in.Header.Get(fieldVersion), 10, 64)
	table := g.table.Load()
	switch {
	case err != nil || table == nil || table.Version != version:
		return declinedResponse(otherVersion)
	case g.leaving.Load():
		return declinedResponse(vmLeaving)
	}
	done, ok := g.takeForOthers(reason(in.Header.Get(fieldReason)))
	if !ok {
		return declinedResponse(vmBusy)
	}
	defer done()
	r := &request{in: in, id: in.Header.Get(g.options.Fields.RequestID), fromPeer: true, accounts: g.accounts.Load()}
	if !g.resolveIdentity(r) {
		return declinedResponse(otherAccount)
	}
	r.readHistory()
	in.Header.Del(fieldVersion)
	end := g.finalOutcome(r, g.handle(ctx, r, table))
	g.record(r, end)
	switch {
	case end.unreached && !r.attempted.MayHaveRun() && g.reach.MayReach(r.service, r.placement.Allowed):
		return declinedResponse(suspected)
	case end.unreached && !r.attempted.MayHaveRun():
		return declinedResponse(notReached)
	}
	a := g.response(end)
	if a != nil {
		a.AwaitedUntil = r.givesUp
		a.Header[result.HeaderResult] = []string{strconv.Itoa(int(end.code))}
		a.Header[fieldOwnerMillis] = []string{strconv.FormatInt(time.Since(in.Arrived).Milliseconds(), 10)}
		a.Header.Del(fieldDeclined)
		a.Header.Del(fieldLeavingTarget)
		if end.answer != nil {
			// A target's own field must not pass for this VM's.
			a.Header.Del(result.HeaderOutcome)
		}
		if end.target != nil && g.options.Balancer.HasStatedToLeave(end.target) {
			a.Header[fieldLeavingTarget] = []string{strconv.FormatUint(end.target.Incarnation, incarnationBase)}
		}
	}
	return a
}

// readHistory reads what the sender of a delegated request tells of it.
func (r *request) readHistory() {
	if n, err := strconv.Atoi(r.in.Header.Get(fieldAttempts)); err == nil && n > 0 {
		r.attempts, r.deposited = n, true
	}
	if millis, err := strconv.ParseInt(r.in.Header.Get(fieldElapsed), 10, 64); err == nil && millis > 0 {
		r.elapsed = time.Duration(millis) * time.Millisecond
	}
	if millis, err := strconv.ParseInt(r.in.Header.Get(fieldGivesUp), 10, 64); err == nil {
		r.givesUp = r.in.Arrived.Add(time.Duration(millis) * time.Millisecond)
	}
	r.log.from = r.in.Header.Get(fieldFrom)
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

func declinedResponse(why string) *serve.Response {
	a := serve.PlainText(http.StatusServiceUnavailable, "")
	a.Header[fieldDeclined] = []string{why}
	return a
}

// declinedFor returns why a VM has declined a request, "" if it has not. Only the field for it tells.
func declinedFor(a *forward.Response) string {
	if !a.Evidence(fieldDeclined).Certain() {
		return ""
	}
	return a.Header.Get(fieldDeclined)
}

// ownerOf returns the VM that places a request, nil for this one. Large requests are not
// delegated, to save the bandwidth of the VMs.
func (g *Gateway) ownerOf(r *request) *owners.Owner {
	if !r.bodyMayGoTo(site.VM{Region: g.options.Region}) || r.fromPeer || r.onTrial || !r.placement.HasKey || r.placement.Large || g.options.Owners == nil {
		return nil
	}
	return g.options.Owners.Lookup(r.placement.Key, r.in.Arrived)
}

// delegate sends a request to the owner of its key, or to a relay. It returns false if that VM has not
// placed the request, or the request may run again. Waiting for a VM that becomes unresponsive ends early
// for idempotent requests only.
func (g *Gateway) delegate(ctx context.Context, r *request, o *owners.Owner, why reason) (outcome, bool) {
	began := time.Now()
	answer, exchange, evidence, err := g.sendToOwner(ctx, r, o, why)
	took := time.Since(began)
	g.options.Metrics.RequestDelegated(string(why), delegationResult(answer, err))
	r.declinedFor = ""
	r.log.delegated.add(exchange, evidence)
	r.attempted.Add(evidence)
	line := logs.Keep(g.options.Logger.WithFields(logrus.Fields{
		"id": r.id, "owner": o.Name, "reason": why, "ms": took.Milliseconds(),
		"exchange": exchange.Exchanged(), "matched": exchange.Match.String(), "not_run": evidence.String(),
	}))
	if err != nil {
		line.WithError(err).Warn("gateway: owner did not answer")
		return g.handleOwnerFailure(ctx, r, o, evidence)
	}
	if r.declinedFor = declinedFor(answer); r.declinedFor != "" {
		line.WithField("why", r.declinedFor).Info("gateway: delegated request declined")
		switch r.declinedFor {
		case notReached:
			o.Avoid(time.Now())
		case vmBusy, suspected:
			o.AvoidSlow(time.Now())
		}
		return outcome{}, false
	}
	g.observeOwner(o, answer)
	r.log.owner, r.log.ownerDuration, r.log.reason = o.Name, took, why
	if own, ok := ownerTime(answer); ok {
		o.RecordOverhead(took-own-g.ownerRTT(o), time.Now())
	}
	return g.delegatedOutcome(answer, evidence), true
}

// handleOwnerFailure decides what to do with a request whose owner did not answer; its results
// are those of delegate.
func (g *Gateway) handleOwnerFailure(ctx context.Context, r *request, o *owners.Owner, evidence notrun.Evidence) (outcome, bool) {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return g.contextOutcome(ctx, r), true
	case !now.Before(r.deadline):
		// The connection's deadline may expire just before the context does.
		return deadlineOutcome(r), true
	}
	o.Avoid(now)
	if evidence.Certain() {
		return outcome{}, false
	}
	// The owner may have sent it to targets: one more attempt is allowed, also where further owners are lost.
	attempts := r.attempts + 1
	if r.route.Kind != site.Idempotent || attempts >= max(2, r.route.MaxAttempts) || !g.mayRepeat(r) || !g.budgetOf(r.service).Take() {
		return outcome{code: result.ConnectionLost, reason: "connection to owner lost"}, true
	}
	r.attempts = max(attempts, r.route.MaxAttempts-1)
	return outcome{}, false
}

// sendToOwner sends a request to another VM. The evidence is what shows that no target ran it there.
func (g *Gateway) sendToOwner(ctx context.Context, r *request, o *owners.Owner, why reason) (answer *forward.Response, exchange forward.Trace, evidence notrun.Evidence, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.route.Kind == site.Idempotent {
		stop := context.AfterFunc(o.Context(), cancel)
		defer stop()
	}
	p := g.ownerPool(o)
	conn, err := p.Get(ctx, r.id)
	if err != nil {
		return nil, forward.Trace{}, notrun.NotSent, err
	}
	defer p.Put(conn)
	out := r.out
	dialect := *r.out.Dialect
	// VMs answer each request once, and with a length.
	dialect.AnswersOnce, dialect.CloseDelimited = true, false
	out.Dialect = &dialect
	out.Header = r.out.Header.Clone()
	out.Header.Set(fieldVersion, strconv.FormatUint(r.version, 10))
	out.Header.Set(fieldReason, string(why))
	out.Header.Set(fieldFrom, g.options.Name)
	out.Header.Set(fieldElapsed, strconv.FormatInt(time.Since(r.in.Arrived).Milliseconds(), 10))
	if r.attempts > 0 {
		out.Header.Set(fieldAttempts, strconv.Itoa(r.attempts))
	}
	if !r.givesUp.IsZero() {
		out.Header.Set(fieldGivesUp, strconv.FormatInt(time.Until(r.givesUp).Milliseconds(), 10))
	}
	if r.identity.Account != nil {
		out.Header.Set(fieldAccount, r.identity.Account.Name)
		out.Header.Set(fieldKeyDigest, r.identity.Digest.String())
	}
	answer, err = g.exchange(ctx, conn, &out)
	return answer, conn.Trace(), ownerEvidence(answer, err), err
}

// ownerEvidence returns what shows that no target ran a request that was sent to another VM: that VM has declined it, or
// states in its outcome that it did not run.
func ownerEvidence(answer *forward.Response, err error) notrun.Evidence {
	var failed *forward.Error
	switch {
	case errors.As(err, &failed):
		return failed.Evidence()
	case err != nil:
		return notrun.None
	case answer.Header.Get(result.HeaderOutcome) == result.NotRun.String() && result.InfoOf(ownerResult(answer)).Outcome == result.NotRun:
		return answer.Evidence(result.HeaderOutcome)
	}
	return answer.Evidence(fieldDeclined)
}

// ownerResult returns the result of an owner's answer, result.OK for the answer of a target.
func ownerResult(a *forward.Response) result.Code {
	if number, err := strconv.ParseUint(a.Header.Get(result.HeaderResult), 10, 16); err == nil {
		return result.Code(number)
	}
	return result.OK
}

// ownerPool returns the connection pool of an owner.
func (g *Gateway) ownerPool(o *owners.Owner) *pool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.ownerPools[o.PeerAddress]
	if p == nil {
		p = pool.New(o.PeerAddress, g.options.Dial(g.ownerRTT(o)), ownerConnections)
		g.ownerPools[o.PeerAddress] = p
	}
	return p
}

// ownerRTT returns the round-trip time to another VM.
func (g *Gateway) ownerRTT(o *owners.Owner) time.Duration {
	if o.Region == "" || o.Region == g.options.Region {
		return ownerRTT
	}
	return g.options.RTT(o.Region)
}

// delegatedOutcome converts an owner's answer to an outcome. A status that stands for a refusal needs evidence, and a
// success the stamp of a target.
func (g *Gateway) delegatedOutcome(a *forward.Response, evidence notrun.Evidence) outcome {
	switch {
	case notrun.IsPromise(a.Status) && !evidence.Certain():
		return outcome{code: result.UnprovenRefusal, reason: "refusal of another VM without its outcome"}
	case a.Status < http.StatusBadRequest && a.Header.Get(g.options.Fields.Stamp) == "":
		return outcome{code: result.AnswerTruncated, reason: errNoStamp.Error()}
	}
	code := ownerResult(a)
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
	case declinedFor(a) != "":
		return "declined"
	}
	return "answered"
}
