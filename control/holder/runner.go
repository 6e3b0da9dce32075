package holder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/relay"
)

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Options
	Ref *peerpb.NodeRef
	// Dial returns a connection to another node, which is reused across calls.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// Decider returns the last known decider of the account and its epoch.
	Decider func() (ref *peerpb.NodeRef, epoch uint64, ok bool)
	// Relays returns the nodes that may forward reports; nil means that all reports
	// go directly to the decider. Relays are used in fleets of at least
	// RelayMinFleet nodes. SendViaRelay sends a report through one.
	Relays        func() relay.Members
	RelayMinFleet int
	SendViaRelay  func(ctx context.Context, relay *peerpb.NodeRef, request *peerpb.PassRequest) (*peerpb.RenewResponse, error)
	// Lenders returns the other nodes of the region, in the order in which to ask
	// them.
	Lenders func() []*peerpb.NodeRef
	// Apply puts a set in force before it returns.
	Apply  func(*grant.Set)
	Clock  func() time.Time
	Logger logrus.FieldLogger
}

// Runner does the I/O of a Core.
type Runner struct {
	options RunnerOptions

	// mu guards the fields below. It is held during Apply, so that sets are applied
	// in order, but not during calls to other nodes.
	mu        sync.Mutex
	core      *Core
	reporting bool
	// reportNumber counts reports. atRelay is set while a relay holds the current
	// report and the node is not short of capacity.
	reportNumber uint64
	atRelay      bool
	nextReport   time.Time
	// nextSteadyReport is when a node without changes reports next.
	nextSteadyReport time.Time
	// interval is the regular report interval that the decider last set.
	interval     time.Duration
	transfer     uint64
	lastAnswerAt time.Time
	// answeredReportSent is when the last answered report was sent.
	answeredReportSent time.Time
	// relaySelector is nil if all reports go directly to the decider.
	relaySelector *relay.Selector
	// unansweredSince is when the first unanswered report was sent, zero if the last
	// report was answered.
	unansweredSince time.Time
	// tracker tracks what the decider knows. hastened is set if a decider asked for
	// a report because the node's grants will change.
	tracker  ReportTracker
	hastened bool
	// urgent is set if a relay should forward the next report without delay, retry
	// if an early report must be sent again because its relay failed.
	urgent, retry bool
	// cancel cancels the latest request.
	cancel  context.CancelFunc
	refused uint64
	// deciderHint is the decider named in the last response that was not applied.
	deciderHint *peerpb.NodeRef
	// shortage is set if requests wait for more capacity than the node has. No early
	// report is sent before nextEarlyReport; earlyReports counts them.
	// reportShortage marks the next request as an early one: a regular report
	// prepared when the shortage began describes the time before it.
	shortage        bool
	reportShortage  bool
	nextEarlyReport time.Time
	earlyReports    uint64
	// random is seeded with the node's identity, so that nodes differ and tests are
	// reproducible.
	random *rand.Rand
}

// NewRunner returns a runner without grants.
func NewRunner(options RunnerOptions) *Runner {
	node := options.Node
	r := &Runner{
		options: options,
		core:    New(options.Options),
		cancel:  func() {},
		random:  rand.New(rand.NewPCG(node.Incarnation, xxhash.Sum64String(node.VM))),
	}
	if options.Relays != nil {
		r.relaySelector = relay.NewSelector(relay.SelectorOptions{
			Account:  options.Account,
			MinFleet: options.RelayMinFleet,
			Members:  options.Relays,
			Random:   r.random,
		})
	}
	return r
}

// Tick advances the Core and applies its set if it changed; call it at least once a
// second.
func (r *Runner) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.Tick(r.options.Clock()) {
		r.options.Apply(r.core.Set())
	}
}

// jitterShare is the fraction of an interval over which the reports of many nodes
// are spread.
const jitterShare = 0.1

// Due reports whether a regular report is due, and if so marks it as in progress. A
// pending early report takes precedence, because a regular one would contain
// averages from before the shortage. A node without changes reports at the steady
// interval, but at once to a new decider, whose first plan is based on the reports
// it receives. recent is the measurement of the last round, whole the one since the
// last report.
func (r *Runner) Due(recent, whole observe.Report) bool {
	_, deciderEpoch, known := r.options.Decider()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	if r.reporting || r.shortage || now.Before(r.nextReport) {
		return false
	}
	set := r.core.Set()
	newDecider := known && deciderEpoch > set.Epoch
	if !r.hastened && !newDecider && now.Before(r.nextSteadyReport) && r.tracker.UpToDate(recent, whole, set) {
		return false
	}
	r.reportNumber++
	r.reporting = true
	return true
}

// Hasten makes the next regular report due at once, unless epoch is older than that
// of the set in force.
func (r *Runner) Hasten(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch >= r.core.Set().Epoch {
		r.hastened = true
	}
}

// SignalShortage records that requests are waiting for more capacity than the node
// has. If it returns true, the caller must call DueEarly.
//
// Early reports are rate limited to one per regular interval, so that a general
// shortage at most doubles the report rate of a node.
func (r *Runner) SignalShortage() (wake bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shortage || r.options.Clock().Before(r.nextEarlyReport) {
		return false
	}
	r.shortage = true
	return true
}

// DueEarly reports whether an early report is due, and if so marks it as in
// progress, cancelling a regular report that a relay holds. If another report is in
// progress the shortage is dropped; requests that still wait will signal it again.
func (r *Runner) DueEarly() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reporting && !r.atRelay || !r.shortage {
		r.shortage = false
		return false
	}
	if r.reporting {
		r.cancel()
	}
	r.atRelay = false
	r.reportNumber++
	r.reporting = true
	r.reportShortage = true
	r.earlyReports++
	return true
}

// acknowledgeWait is the delay, plus jitter, before a node acknowledges a set that
// lowers its grants. It is short because another node may be waiting for the freed
// capacity.
const acknowledgeWait = 50 * time.Millisecond

// Report sends a report and handles the response. Call it after Due or DueEarly
// returns true. A response that lowers the grants is acknowledged shortly afterwards
// by sending the report again.
func (r *Runner) Report(ctx context.Context, report observe.Report, leaving bool) {
	number := r.currentReport()
	defer r.finishReport(number)
	lowered, ok := r.exchange(ctx, report, leaving)
	if !ok && r.takeRetry() {
		lowered, ok = r.exchange(ctx, report, leaving)
	}
	if r.replaced(number) {
		return
	}
	if !ok {
		r.borrow(ctx, report)
		return
	}
	if !lowered {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.acknowledgeDelay()):
		r.markUrgent()
		r.exchange(ctx, report, leaving)
	}
}

func (r *Runner) acknowledgeDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return acknowledgeWait + time.Duration(r.random.Int64N(int64(acknowledgeWait)))
}

// exchange sends a report and handles the response. ok reports whether the response
// was applied, lowered whether it reduces any grant.
func (r *Runner) exchange(ctx context.Context, report observe.Report, leaving bool) (lowered, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, r.options.RequestTimeout)
	defer cancel()
	number := r.setCancel(cancel)
	request, sent := r.newRequest(report, leaving)
	dest := r.chooseDestination(request)
	response, err := r.send(ctx, dest, request)
	if err == nil {
		lowered, ok = r.handleResponse(sent, response)
	}
	if !ok && r.replaced(number) {
		return false, false
	}
	r.recordOutcome(request, report, sent, response, ok)
	r.recordDelivery(dest, request, sent.At, ok)
	return lowered, ok
}

// recordOutcome updates the tracker and the steady report time after a report.
func (r *Runner) recordOutcome(request *peerpb.RenewRequest, report observe.Report, sent SentRequest, response *peerpb.RenewResponse, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.tracker.Reset()
		if r.unansweredSince.IsZero() {
			r.unansweredSince = sent.At
		}
		return
	}
	r.unansweredSince = time.Time{}
	r.tracker.RecordAnswer(request, report, response, sent.At)
	r.nextSteadyReport = sent.At.Add(r.jitter(max(SteadyReportInterval, r.interval)))
}

func (r *Runner) currentReport() (number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reportNumber
}

// replaced reports whether a newer report has replaced the given one.
func (r *Runner) replaced(number uint64) bool { return r.currentReport() != number }

func (r *Runner) finishReport(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reportNumber == number {
		r.reporting, r.atRelay = false, false
	}
}

func (r *Runner) newRequest(report observe.Report, leaving bool) (*peerpb.RenewRequest, SentRequest) {
	_, deciderEpoch, known := r.options.Decider()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	r.nextReport = now.Add(r.jitter(time.Second))
	short := r.reportShortage
	r.reportShortage = false
	r.urgent = r.urgent || r.hastened || short || leaving || r.lastAnswerAt.IsZero()
	r.hastened = false
	sent := r.core.StartRequest(now)
	if known && deciderEpoch > sent.Epoch {
		// A new decider has no state from earlier reports.
		r.tracker.Reset()
	}
	request := NewRequest(report)
	request.Node = r.options.Ref
	request.Account = string(r.options.Account)
	request.AppliedEpoch = sent.Epoch
	request.AppliedSequence = sent.Sequence
	request.GrantNames = sent.GrantNames
	request.Leaving = leaving
	request.Stopped = r.core.Stopped(now)
	request.Short = short
	if short {
		r.shortage = false
		r.nextEarlyReport = now.Add(r.jitter(max(r.interval, time.Second)))
	}
	r.tracker.OmitKnown(request, report, r.core.Set(), now)
	return request, sent
}

// jitter must be called with mu held.
func (r *Runner) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare*r.random.Float64()))
}

func (r *Runner) handleResponse(sent SentRequest, response *peerpb.RenewResponse) (lowered, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	before := r.core.Set()
	outcome := r.core.HandleResponse(sent, response, now)
	if outcome != Applied {
		r.refused++
		r.deciderHint = response.Decider
		return false, false
	}
	r.lastAnswerAt = now
	r.transfer = 0
	r.options.Apply(r.core.Set())
	if response.NextMs > 0 {
		r.interval = time.Duration(response.NextMs) * time.Millisecond
		r.nextReport = sent.At.Add(r.jitter(r.interval))
	}
	return lowers(before, r.core.Set()), true
}

// lowers reports whether any grant in after is smaller than in before.
func lowers(before, after *grant.Set) bool {
	for _, b := range before.Grants {
		i := slices.IndexFunc(after.Grants, func(a grant.Grant) bool { return a.Key == b.Key })
		if b.Floor+b.Surplus == 0 {
			continue
		}
		if i < 0 || after.Grants[i].Floor < b.Floor || after.Grants[i].Surplus < b.Surplus {
			return true
		}
	}
	return false
}

// Stop closes the admission and returns the grants to the decider, so that they can
// be reassigned at once. It waits for loans to end until ctx is done.
func (r *Runner) Stop(ctx context.Context) {
	r.mu.Lock()
	if r.core.Stop() {
		r.options.Apply(r.core.Set())
	}
	r.mu.Unlock()
	for !r.stopped() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
	request, _ := r.newRequest(observe.Report{}, true)
	if _, err := r.send(ctx, r.directDestination(), request); err != nil {
		r.options.Logger.WithError(err).Info("control: could not hand back the grants, they are freed after the removal time")
	}
}

func (r *Runner) stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Stopped(r.options.Clock())
}

// Status is the state of a holder that is shown to operators.
type Status struct {
	Set *grant.Set
	// Heard is when a decider last answered, zero for never. Unanswered is when the
	// first unanswered report was sent, zero if the last report was answered.
	Heard, Unanswered time.Time
	// Refused counts responses that were not applied.
	Refused uint64
	// Early counts reports sent early because of a capacity shortage.
	Early          uint64
	Lent, Borrowed int
}

// Status returns the current state.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{
		Set:   r.core.Set(),
		Heard: r.lastAnswerAt, Unanswered: r.unansweredSince,
		Refused:  r.refused,
		Early:    r.earlyReports,
		Lent:     len(r.core.lent),
		Borrowed: len(r.core.borrowed),
	}
}
