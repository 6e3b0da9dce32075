// Package decider makes the decisions for one client account on the node that holds
// its lease: it plans traffic, accounts for grants in the ledger and answers the
// reports of all nodes. Core is a state machine without I/O that is given the time;
// Runner does the I/O.
package decider

import (
	"time"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/allocate"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/store"
)

// Options configures a Core.
type Options struct {
	Ledger   ledger.Params
	Allocate allocate.Params
	Planner  Planner
	// ReportsPerSecond limits the reports that a decider receives: in larger fleets
	// each node reports less often.
	ReportsPerSecond int
}

// DefaultReportsPerSecond is the default for Options.ReportsPerSecond.
const DefaultReportsPerSecond = 200

// ErrSuperseded is returned when another decider has written the ledger; this one
// must give up its lease.
var ErrSuperseded = errors.New("decider: another decider took over")

// Write is a pending write of the ledger.
type Write struct {
	Value    []byte
	Expected store.Revision
}

// Core decides for one account during one lease term. It is not safe for concurrent
// use.
type Core struct {
	options   Options
	account   *model.Account
	ledger    *ledger.Ledger
	revision  store.Revision
	termStart time.Time
	reports   map[grant.NodeID]*nodeState
	// nodesByHash maps the hash of a node's identity to the node, for nodes that
	// reported in this term. Nodes whose hashes collide map to the zero Node.
	nodesByHash   map[uint64]ledger.Node
	latestPlan    *plan.Plan
	sequence      uint64
	plannerOutput PlannerOutput
	// writeUncertain is set after an attempt at the pending write had an unknown
	// outcome: that attempt may have succeeded even if a later one fails.
	writeUncertain bool
	// committedPlan is the plan in the last settled write, ready to be published.
	committedPlan *plan.Plan
	superseded    bool
	// index maps a key to its ledger index.
	index map[ledger.Key]int
	// keysHash is the hash of the names of the first hashedKeys keys.
	keysHash   uint64
	hashedKeys int
}

// NewCore starts a lease term at now. entry is the stored ledger, or the zero Entry
// if there is none. account must not be nil.
func NewCore(options Options, account *model.Account, epoch uint64, entry store.Entry, now time.Time) (*Core, error) {
	c := &Core{
		options:     options,
		account:     account,
		revision:    entry.Revision,
		termStart:   now,
		reports:     make(map[grant.NodeID]*nodeState),
		nodesByHash: make(map[uint64]ledger.Node),
	}
	limits := ledger.NewLimits(account)
	if entry.Revision == 0 {
		c.ledger = ledger.New(options.Ledger, epoch, limits)
	} else {
		l, err := ledger.Load(entry.Value, options.Ledger, epoch, limits, now)
		if err != nil {
			return nil, err
		}
		c.ledger = l
	}
	if err := c.loadPlan(); err != nil {
		return nil, err
	}
	c.ledger.Rewrite(now)
	if options.Ledger.Faults.SkipRewrite {
		c.ledger.ConfirmWrite()
	}
	return c, nil
}

func (c *Core) loadPlan() error {
	stored := c.ledger.Plan()
	if len(stored.Body) == 0 {
		return nil
	}
	p := &plan.Plan{}
	if err := json.Unmarshal(stored.Body, p); err != nil {
		return errors.Wrap(err, "decider: stored plan")
	}
	c.latestPlan = p
	return nil
}

// Epoch returns the fencing token of the term.
func (c *Core) Epoch() uint64 { return c.ledger.Epoch() }

// Ledger returns the ledger, for checks and status.
func (c *Core) Ledger() *ledger.Ledger { return c.ledger }

// PlannerOutput returns the latest output of the planner.
func (c *Core) PlannerOutput() PlannerOutput { return c.plannerOutput }

// ObserveVMs records a VM list that was read at readAt.
func (c *Core) ObserveVMs(list []ledger.ListedVM, sequence uint64, readAt time.Time) {
	c.ledger.ObserveVMs(list, sequence, readAt)
}

// Step makes the decisions due at now and returns the ledger write that must succeed
// before any of them takes effect. ok is false if no write is due.
func (c *Core) Step(account *model.Account, now time.Time) (w Write, ok bool) {
	if c.superseded {
		return Write{}, false
	}
	if !c.ledger.Pending() {
		c.decide(account, now)
	}
	return c.propose(now)
}

// Reallocate grants free capacity to nodes that are short of it, without a new plan.
// It returns a write like Step.
func (c *Core) Reallocate(now time.Time) (w Write, ok bool) {
	if c.superseded {
		return Write{}, false
	}
	if !c.ledger.Pending() {
		c.allocate(now)
	}
	return c.propose(now)
}

// propose returns the write that must succeed before any new ledger state is sent;
// ok is false if none is needed.
func (c *Core) propose(now time.Time) (w Write, ok bool) {
	value := c.ledger.Propose(now)
	if value == nil {
		return Write{}, false
	}
	return Write{Value: value, Expected: c.revision}, true
}

func (c *Core) decide(account *model.Account, now time.Time) {
	if c.ledger.SetLimits(ledger.NewLimits(account)) {
		c.account = account
	}
	c.forgetRemoved(now)
	c.makePlan(now)
	c.allocate(now)
}

func (c *Core) makePlan(now time.Time) {
	reports, unreported := c.nodeReports(now)
	c.plannerOutput = c.options.Planner.Plan(PlannerInput{
		Account:         c.account,
		Reports:         reports,
		UnreportedNodes: unreported,
		PermittedRPS: func(id grant.NodeID, service model.ServiceName) float64 {
			return c.ledger.Permitted(id, service, now).RPS()
		},
		Previous:  c.latestPlan,
		Moves:     c.ledger.Moves(),
		Now:       now,
		TermStart: c.termStart,
	})
	if c.latestPlan != nil && sameFlows(c.latestPlan.Flows, c.plannerOutput.Flows) && c.latestPlan.Epoch == c.Epoch() {
		return
	}
	c.sequence++
	next := &plan.Plan{
		Account:        c.account.Name,
		ConfigRevision: c.account.Revision,
		Epoch:          c.Epoch(),
		Sequence:       c.sequence,
		Flows:          c.plannerOutput.Flows,
	}
	body, err := json.Marshal(next)
	if err != nil {
		return
	}
	window := c.account.Moves.Window
	c.ledger.SetPlan(ledger.Plan{Body: body, Sequence: c.sequence}, c.plannerOutput.Moves, window, moveHistoryWindows*window, now)
	c.latestPlan = next
}

// Settle handles the result of the last write: the revision, or the error of
// store.KV.Swap. It returns ErrSuperseded if another decider has written, and
// ErrUnresolvedWrite if Resolve must be called with the stored entry.
func (c *Core) Settle(revision store.Revision, err error) error {
	switch {
	case err == nil:
		c.writeSettled(revision)
		return nil
	case store.IsConflict(err) && c.writeUncertain:
		return ErrUnresolvedWrite
	case store.IsConflict(err):
		c.superseded = true
		return ErrSuperseded
	case errors.Is(err, store.ErrUnavailable) && !c.writeUncertain:
		return nil
	case c.options.Ledger.Faults.TreatUnknownAsFailed:
		c.ledger.DiscardWrite()
		return nil
	default:
		c.writeUncertain = true
		return nil
	}
}

// ErrUnresolvedWrite is returned when the stored ledger must be read to learn the
// outcome of an earlier write.
var ErrUnresolvedWrite = errors.New("decider: outcome of the ledger write is unknown")

// Resolve settles a write that got a conflict after an attempt with unknown outcome:
// it succeeded if the stored ledger carries its stamp.
func (c *Core) Resolve(entry store.Entry) error {
	stamp, err := ledger.DecodeStamp(entry.Value)
	if err != nil {
		return err
	}
	if stamp != c.ledger.Stamp() {
		c.superseded = true
		return ErrSuperseded
	}
	c.writeSettled(entry.Revision)
	return nil
}

func (c *Core) writeSettled(revision store.Revision) {
	c.revision = revision
	c.writeUncertain = false
	c.ledger.ConfirmWrite()
	if !c.ledger.HasUnsavedPlan() && c.latestPlan != nil && c.latestPlan.Epoch == c.Epoch() {
		c.committedPlan = c.latestPlan
	}
}

// CommittedPlan returns the plan of the last settled write, nil if there is none in
// this term.
func (c *Core) CommittedPlan() *plan.Plan { return c.committedPlan }

// MarkPublished records that CommittedPlan had been sent to the nodes by now. It
// must be called after sending it and before the next Step. It does nothing while a
// newer plan waits for its write, because the moves of that plan have not begun.
func (c *Core) MarkPublished(now time.Time) {
	if c.committedPlan == nil || c.committedPlan != c.latestPlan {
		return
	}
	c.ledger.MarkPublished(now)
}

func sameFlows(a, b []plan.Flow) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !sameFlow(&a[i], &b[i]) {
			return false
		}
	}
	return true
}

func sameFlow(a, b *plan.Flow) bool {
	if a.Service != b.Service || a.Caller != b.Caller || len(a.Shares) != len(b.Shares) {
		return false
	}
	for i := range a.Shares {
		if a.Shares[i] != b.Shares[i] {
			return false
		}
	}
	return true
}
