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
	// Dial returns a connection to another node; it keeps it for later calls.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// Decider returns where the decider of the account was last seen, and its
	// epoch.
	Decider func() (ref *peerpb.NodeRef, epoch uint64, ok bool)
	// Relays are the nodes that may pass reports on, from RelayMinFleet nodes on;
	// nil means that all reports go directly. Pass hands one to a relay.
	Relays        func() relay.Members
	RelayMinFleet int
	SendViaRelay  func(ctx context.Context, relay *peerpb.NodeRef, request *peerpb.PassRequest) (*peerpb.RenewResponse, error)
	// Lenders returns the other nodes of the region, in the order to ask.
	Lenders func() []*peerpb.NodeRef
	// Apply puts a set in force before it returns.
	Apply  func(*grant.Set)
	Clock  func() time.Time
	Logger logrus.FieldLogger
}

// Runner does the I/O of a Core.
type Runner struct {
	options RunnerOptions

	// mu guards the rest. It is held over Apply, so that sets are put in force
	// in their order, but not over calls to other nodes.
	mu   sync.Mutex
	core *Core
	busy bool
	// turn counts reports. relayed tells that a relay has the one under way, whose
	// node was not short.
	turn    uint64
	relayed bool
	due     time.Time
	// restDue is when a node at rest reports.
	restDue time.Time
	// interval is that of regular reports, as the decider said last.
	interval time.Duration
	transfer uint64
	heard    time.Time
	// renewed is when the last report that was answered was sent.
	renewed time.Time
	// route chooses the way of reports, nil for always directly.
	route *relay.Selector
	// unanswered is since when no report has been answered, zero while the last
	// one was.
	unanswered time.Time
	// told is what the decider knows; hastened tells that the node is to report
	// though it has nothing to tell, because its grants are to change.
	told     ReportTracker
	hastened bool
	// urgent tells that the next report should not wait at a relay; repeat that one
	// out of turn is to be made again, because its relay failed.
	urgent, repeat bool
	// cancel ends the request made last.
	cancel  context.CancelFunc
	refused uint64
	// hint is where the node asked last says that the decider is.
	hint *peerpb.NodeRef
	// short tells that requests wait for more than the node has; shortAfter is
	// before when that is no cause for a report out of turn, and early counts
	// such reports. tellsShort marks the next request as one: a regular report that
	// is being made when requests begin to wait tells the mean of a time before.
	short      bool
	tellsShort bool
	shortAfter time.Time
	early      uint64
	// random is seeded by the node's identity, so that nodes differ and a test
	// runs the same each time.
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
		r.route = relay.NewSelector(relay.SelectorOptions{
			Account:  options.Account,
			MinFleet: options.RelayMinFleet,
			Members:  options.Relays,
			Random:   r.random,
		})
	}
	return r
}

// Tick notes that the process runs; call it at least once a second.
func (r *Runner) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.Tick(r.options.Clock()) {
		r.options.Apply(r.core.Set())
	}
}

// jitterShare spreads the reports of many nodes over the interval.
const jitterShare = 0.1

// Due reports whether a regular report is due, and if so notes it as under way:
// a node has one request under way at a time. While one out of turn is to come
// it waits for that: it would tell the mean of a time before the shortage. A
// node at rest, with nothing to tell, reports seldom, but at once to a new decider,
// which takes what it hears in its first seconds for the demand. recent is what was
// measured in the last round, whole since the last report.
func (r *Runner) Due(recent, whole observe.Report) bool {
	_, decider, known := r.options.Decider()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	if r.busy || r.short || now.Before(r.due) {
		return false
	}
	set := r.core.Set()
	renewed := known && decider > set.Epoch
	if !r.hastened && !renewed && now.Before(r.restDue) && r.told.UpToDate(recent, whole, set) {
		return false
	}
	r.turn++
	r.busy = true
	return true
}

// Hasten makes the next regular report come at once, for a decider of an epoch
// that is not older than the last one heard of.
func (r *Runner) Hasten(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch >= r.core.Set().Epoch {
		r.hastened = true
	}
}

// SignalShortage notes that requests wait for more than the node has. wake tells that a
// report out of turn is due for it; DueEarly must be called then.
//
// Guard against a storm of reports while there is no capacity left: after one
// out of turn the node waits for the interval of its regular reports before the
// next, so that no node sends more than twice its regular reports.
func (r *Runner) SignalShortage() (wake bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.short || r.options.Clock().Before(r.shortAfter) {
		return false
	}
	r.short = true
	return true
}

// DueEarly reports whether a report out of turn is due, and if so notes it as
// under way, in place of one that a relay holds. While another is under way the
// shortage is forgotten: requests that still wait will tell it again.
func (r *Runner) DueEarly() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy && !r.relayed || !r.short {
		r.short = false
		return false
	}
	if r.busy {
		r.cancel()
	}
	r.relayed = false
	r.turn++
	r.busy = true
	r.tellsShort = true
	r.early++
	return true
}

// acknowledgeAfter is how long after a lower set was put in force the decider is
// told, spread by jitter: what was taken may be what another node waits for.
const acknowledgeAfter = 50 * time.Millisecond

// Report sends a report and takes in the answer. Call it after Due or DueEarly.
// An answer that lowers the grants is acknowledged soon, by the same report.
func (r *Runner) Report(ctx context.Context, report observe.Report, leaving bool) {
	turn := r.begin()
	defer r.done(turn)
	lowered, ok := r.exchange(ctx, report, leaving)
	if !ok && r.again() {
		lowered, ok = r.exchange(ctx, report, leaving)
	}
	if r.replaced(turn) {
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
		r.noteUrgent()
		r.exchange(ctx, report, leaving)
	}
}

func (r *Runner) acknowledgeDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return acknowledgeAfter + time.Duration(r.random.Int64N(int64(acknowledgeAfter)))
}

// exchange sends a report and takes in the answer. ok tells that it was taken,
// lowered that it permits less than before for a place.
func (r *Runner) exchange(ctx context.Context, report observe.Report, leaving bool) (lowered, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, r.options.RequestTimeout)
	defer cancel()
	turn := r.setCancel(cancel)
	request, sent := r.request(report, leaving)
	way := r.way(request)
	response, err := r.renew(ctx, way, request)
	if err == nil {
		lowered, ok = r.answer(sent, response)
	}
	if !ok && r.replaced(turn) {
		return false, false
	}
	r.note(request, report, sent, response, ok)
	r.noteWay(way, request, sent.At, ok)
	return lowered, ok
}

// note notes what became of a report.
func (r *Runner) note(request *peerpb.RenewRequest, report observe.Report, sent SentRequest, response *peerpb.RenewResponse, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.told.Reset()
		if r.unanswered.IsZero() {
			r.unanswered = sent.At
		}
		return
	}
	r.unanswered = time.Time{}
	r.told.RecordAnswer(request, report, response, sent.At)
	r.restDue = sent.At.Add(r.jitter(max(SteadyReportInterval, r.interval)))
}

func (r *Runner) begin() (turn uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.turn
}

// replaced reports whether another report was made in place of that of a turn.
func (r *Runner) replaced(turn uint64) bool { return r.begin() != turn }

func (r *Runner) done(turn uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.turn == turn {
		r.busy, r.relayed = false, false
	}
}

func (r *Runner) request(report observe.Report, leaving bool) (*peerpb.RenewRequest, SentRequest) {
	_, decider, known := r.options.Decider()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	r.due = now.Add(r.jitter(time.Second))
	short := r.tellsShort
	r.tellsShort = false
	r.urgent = r.urgent || r.hastened || short || leaving || r.heard.IsZero()
	r.hastened = false
	sent := r.core.StartRequest(now)
	if known && decider > sent.Epoch {
		// A new decider has been told nothing.
		r.told.Reset()
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
		r.short = false
		r.shortAfter = now.Add(r.jitter(max(r.interval, time.Second)))
	}
	r.told.OmitKnown(request, report, r.core.Set(), now)
	return request, sent
}

// jitter needs mu.
func (r *Runner) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare*r.random.Float64()))
}

func (r *Runner) answer(sent SentRequest, response *peerpb.RenewResponse) (lowered, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	before := r.core.Set()
	outcome := r.core.HandleResponse(sent, response, now)
	if outcome != Applied {
		r.refused++
		r.hint = response.Decider
		return false, false
	}
	r.heard = now
	r.transfer = 0
	r.options.Apply(r.core.Set())
	if response.NextMs > 0 {
		r.interval = time.Duration(response.NextMs) * time.Millisecond
		r.due = sent.At.Add(r.jitter(r.interval))
	}
	return lowers(before, r.core.Set()), true
}

// lowers reports whether a set has less of anything than the one before.
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

// Stop closes the admission and tells the decider, so that what the node had
// can be given to others at once. It waits for loans to end as long as ctx
// lasts.
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
	request, _ := r.request(observe.Report{}, true)
	if _, err := r.renew(ctx, r.directly(), request); err != nil {
		r.options.Logger.WithError(err).Info("control: could not hand back the grants, they are freed after the removal time")
	}
}

func (r *Runner) stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Stopped(r.options.Clock())
}

// Status is what operators see of a holder.
type Status struct {
	Set *grant.Set
	// Heard is when a decider last answered, zero for never; Unanswered since
	// when none has, zero while the last report was answered.
	Heard, Unanswered time.Time
	// Refused counts reports without an answer that was taken.
	Refused uint64
	// Early counts reports out of turn, made because requests waited for more
	// than the node had.
	Early          uint64
	Lent, Borrowed int
}

// Status returns the present state.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{
		Set:   r.core.Set(),
		Heard: r.heard, Unanswered: r.unanswered,
		Refused:  r.refused,
		Early:    r.early,
		Lent:     len(r.core.lent),
		Borrowed: len(r.core.borrowed),
	}
}
