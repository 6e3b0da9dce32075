package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/campaign"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/holder"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/store/lease"
)

// account is the control work of one client account on this node.
type account struct {
	system     *System
	name       model.AccountName
	configured atomic.Pointer[model.Account]
	campaign   *campaign.Campaign
	decider    *decider.Runner
	holder     *holder.Runner
	// without is since when this node works for the account.
	without time.Time
	// measured is what was measured since the last regular report; only Run
	// uses it.
	measured observe.Report
	// announced is the epoch whose address was published last.
	announced uint64
	// relieved is when the decider last decided out of turn; only Run uses it.
	relieved time.Time
	// stepping is true while a step runs, stopped after Stop.
	stepping, stopped atomic.Bool
}

func newAccount(s *System, name model.AccountName) *account {
	a := &account{system: s, name: name, without: s.options.Clock()}
	a.campaign = campaign.New(campaign.NewElection(lease.Options{
		KV:    s.options.Store,
		Key:   deciderKey(name),
		Value: s.refBody,
		TTL:   s.options.LeaseTTL,
	}))
	a.decider = decider.NewRunner(a.deciderOptions())
	a.holder = holder.NewRunner(a.holderOptions())
	return a
}

func (a *account) deciderOptions() decider.RunnerOptions {
	o := &a.system.options
	return decider.RunnerOptions{
		Options: decider.Options{
			Ledger:           o.Ledger,
			Allocate:         o.Allocate,
			Planner:          o.Planner,
			ReportsPerSecond: decider.DefaultReportsPerSecond,
		},
		Account:             a.name,
		KV:                  o.Store,
		Lease:               a.campaign,
		Configured:          a.configured.Load,
		VMList:              a.system.listed,
		Publish:             a.publishPlan,
		HastenNode:          a.hasten,
		RequestReallocation: a.hurry,
		Clock:               o.Clock,
		Logger:              o.Logger,
		CallTimeout:         decider.DefaultCallTimeout,
	}
}

func (a *account) holderOptions() holder.RunnerOptions {
	o := &a.system.options
	return holder.RunnerOptions{
		Options: holder.Options{
			Node:           o.Node,
			Region:         model.RegionName(o.Ref.Region),
			Account:        a.name,
			Params:         o.Ledger,
			RequestTimeout: holder.DefaultRequestTimeout,
			LendShare:      holder.DefaultLendShare,
		},
		Ref:     o.Ref,
		Dial:    o.Dial,
		Decider: a.deciderRef,
		Lenders: a.system.lenders,

		Relays:        a.system.relays.members,
		RelayMinFleet: o.RelayFromNodes,
		SendViaRelay:  a.system.pass,

		Apply:  o.ApplyGrants,
		Clock:  o.Clock,
		Logger: o.Logger,
	}
}

// deciderRef returns this node itself as soon as it decides, before the
// address has gone round.
func (a *account) deciderRef() (ref *peerpb.NodeRef, epoch uint64, ok bool) {
	if epoch, held := a.campaign.Held(); held {
		return a.system.options.Ref, epoch, true
	}
	return a.system.options.DeciderOf(a.name)
}

// step does the decider's work due now.
func (a *account) step(ctx context.Context) {
	o := &a.system.options
	rank := campaign.Rank(a.name, o.Node.VM, a.system.candidates())
	due := !o.Leaving() && !a.stopped.Load() && campaign.ShouldCampaign(rank, a.withoutDecider())
	if err := a.campaign.Step(ctx, due); err != nil {
		o.Logger.WithError(err).Error("control: cannot campaign")
	}
	a.announce()
	a.resignOn(ctx, a.decider.Step(ctx))
}

// resignOn gives the lease up if the term is over.
func (a *account) resignOn(ctx context.Context, err error) {
	if err == nil {
		return
	}
	a.system.options.Logger.WithField("account", a.name).WithError(err).Warn("control: giving up the lease")
	_ = a.campaign.Resign(ctx)
}

// hurry asks for a decision out of turn. If the request is dropped the next step
// serves the nodes that wait.
func (a *account) hurry() {
	select {
	case a.system.hurried <- a:
	default:
	}
}

// hastenTimeout bounds a request to report; a lost one is repeated.
const hastenTimeout = time.Second

// hasten asks a node to report, without waiting for it.
func (a *account) hasten(node ledger.Node, epoch uint64) {
	s := a.system
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), hastenTimeout)
		defer cancel()
		conn, err := s.options.Dial(node.Address)
		if err != nil {
			return
		}
		request := &peerpb.HastenRequest{Account: string(a.name), Epoch: epoch}
		_, _ = peerpb.NewControlClient(conn).Hasten(ctx, request)
	})
}

const (
	// relieveEvery is the shortest time between two decisions out of turn, so
	// that an account writes its ledger at most twice in a second, and once a
	// second in the mean of longer times plus once for each step.
	relieveEvery = time.Second
	// gather is how long a decision out of turn waits for the reports of other
	// nodes that are short for the same reason.
	gather = 50 * time.Millisecond
)

// relieve decides out of turn.
func (a *account) relieve(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(gather):
	}
	a.resignOn(ctx, a.decider.Reallocate(ctx))
}

// stop hands back the grants, to this node itself if it decides, and then the
// lease.
func (a *account) stop(ctx context.Context) {
	a.stopped.Store(true)
	a.holder.Stop(ctx)
	a.lastStep(ctx)
	if err := a.campaign.Resign(ctx); err != nil {
		a.system.options.Logger.WithError(err).Info("control: could not give back a lease, it will lapse")
	}
}

// lastStep writes what the node's own stop has freed, when it decides itself:
// the next decider would have to wait for the removal time otherwise.
func (a *account) lastStep(ctx context.Context) {
	for !a.stepping.CompareAndSwap(false, true) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stepPoll):
		}
	}
	defer a.stepping.Store(false)
	_ = a.decider.Step(ctx)
}

// stepPoll is how often a stopping node looks whether a step has ended.
const stepPoll = 10 * time.Millisecond

// withoutDecider is how long no decider has answered, 0 while the last report was
// answered: a node at rest does not ask for long.
func (a *account) withoutDecider() time.Duration {
	status := a.holder.Status()
	switch {
	case status.Heard.IsZero():
		return a.system.options.Clock().Sub(a.without)
	case status.Unanswered.IsZero():
		return 0
	default:
		return a.system.options.Clock().Sub(status.Unanswered)
	}
}

// announce publishes the address of this node once in each term.
func (a *account) announce() {
	epoch, held := a.campaign.Held()
	if !held || epoch == a.announced {
		return
	}
	a.announced = epoch
	a.system.options.Publish(deciderKey(a.name), epoch, 1, a.system.refBody)
}

func (a *account) publishPlan(p *plan.Plan) {
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	a.system.options.Publish(planKey(a.name), p.Epoch, p.Sequence, body)
}

func encodeRef(ref *peerpb.NodeRef) ([]byte, error) { return proto.Marshal(ref) }
