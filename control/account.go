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

// account runs the control work of one client account on this node.
type account struct {
	system     *System
	name       model.AccountName
	configured atomic.Pointer[model.Account]
	campaign   *campaign.Campaign
	decider    *decider.Runner
	holder     *holder.Runner
	// createdAt is when this node began to work for the account.
	createdAt time.Time
	// unreported holds the measurements since the last regular report; only Run
	// uses it.
	unreported observe.Report
	// publishedEpoch is the epoch for which this node last published its address.
	publishedEpoch uint64
	// lastReallocation is the time of the last immediate reallocation; only Run uses
	// it.
	lastReallocation time.Time
	// stepping is true while a step runs, stopped after Stop.
	stepping, stopped atomic.Bool
}

func newAccount(s *System, name model.AccountName) *account {
	a := &account{system: s, name: name, createdAt: s.options.Clock()}
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
		VMList:              a.system.listedVMs,
		Publish:             a.publishPlan,
		HastenNode:          a.hastenNode,
		RequestReallocation: a.requestReallocation,
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
		RelayMinFleet: o.RelayMinFleet,
		SendViaRelay:  a.system.sendViaRelay,

		Apply:  o.ApplyGrants,
		Clock:  o.Clock,
		Logger: o.Logger,
	}
}

// deciderRef returns the decider. This node counts as the decider as soon as it
// holds the lease, before its address has been published.
func (a *account) deciderRef() (ref *peerpb.NodeRef, epoch uint64, ok bool) {
	if epoch, held := a.campaign.Held(); held {
		return a.system.options.Ref, epoch, true
	}
	return a.system.options.DeciderOf(a.name)
}

// step runs the decider work that is due.
func (a *account) step(ctx context.Context) {
	o := &a.system.options
	rank := campaign.Rank(a.name, o.Node.VM, a.system.candidates())
	due := !o.Leaving() && !a.stopped.Load() && campaign.ShouldCampaign(rank, a.timeWithoutDecider())
	if err := a.campaign.Step(ctx, due); err != nil {
		o.Logger.WithError(err).Error("control: cannot campaign")
	}
	a.publishAddress()
	a.resignOnError(ctx, a.decider.Step(ctx))
}

// resignOnError resigns the lease if a decider step has returned an error.
func (a *account) resignOnError(ctx context.Context, err error) {
	if err == nil {
		return
	}
	a.system.options.Logger.WithField("account", a.name).WithError(err).Warn("control: giving up the lease")
	_ = a.campaign.Resign(ctx)
}

// requestReallocation requests an immediate reallocation. If the queue is full, the
// next step serves the waiting nodes.
func (a *account) requestReallocation() {
	select {
	case a.system.reallocations <- a:
	default:
	}
}

// hastenTimeout bounds a request to report. The decider repeats lost requests.
const hastenTimeout = time.Second

// hastenNode asks a node to report, without waiting for the response.
func (a *account) hastenNode(node ledger.Node, epoch uint64) {
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
	// minReallocationInterval is the shortest time between two immediate
	// reallocations. It limits the ledger writes that shortages cause.
	minReallocationInterval = time.Second
	// reallocationDelay lets reports of other nodes with the same shortage arrive
	// before a reallocation.
	reallocationDelay = 50 * time.Millisecond
)

// reallocate runs an immediate reallocation.
func (a *account) reallocate(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(reallocationDelay):
	}
	a.resignOnError(ctx, a.decider.Reallocate(ctx))
}

// stop releases the grants and then the lease. The order matters if this node is
// the decider.
func (a *account) stop(ctx context.Context) {
	a.stopped.Store(true)
	a.holder.Stop(ctx)
	a.finalStep(ctx)
	if err := a.campaign.Resign(ctx); err != nil {
		a.system.options.Logger.WithError(err).Info("control: could not release the lease, it will expire")
	}
}

// finalStep writes the grants released by the node's own stop if it is the decider;
// otherwise the next decider would wait for the removal time.
func (a *account) finalStep(ctx context.Context) {
	for !a.stepping.CompareAndSwap(false, true) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stepPollInterval):
		}
	}
	defer a.stepping.Store(false)
	_ = a.decider.Step(ctx)
}

// stepPollInterval is how often a stopping node checks whether a step has ended.
const stepPollInterval = 10 * time.Millisecond

// timeWithoutDecider returns how long no decider has answered, 0 if the last report
// was answered: a node with steady demand reports rarely.
func (a *account) timeWithoutDecider() time.Duration {
	status := a.holder.Status()
	switch {
	case status.Heard.IsZero():
		return a.system.options.Clock().Sub(a.createdAt)
	case status.Unanswered.IsZero():
		return 0
	default:
		return a.system.options.Clock().Sub(status.Unanswered)
	}
}

// publishAddress publishes this node as the decider, once per term.
func (a *account) publishAddress() {
	epoch, held := a.campaign.Held()
	if !held || epoch == a.publishedEpoch {
		return
	}
	a.publishedEpoch = epoch
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
