// Package decider runs the decisions of one client account on the node that
// holds its lease: it makes the plan, accounts for grants in the ledger and
// answers the reports of all nodes. Core is the pure part, driven by events
// with the time passed in; Runner does the I/O.
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
	// ReportsPerSecond bounds the reports a decider takes: with more nodes
	// each reports less often.
	ReportsPerSecond int
}

// DefaultReportsPerSecond is how many reports a second a decider takes.
const DefaultReportsPerSecond = 200

// ErrSuperseded tells that another decider has written the ledger: this one must
// give up its lease.
var ErrSuperseded = errors.New("decider: another decider took over")

// Write is a write of the ledger that is due.
type Write struct {
	Value    []byte
	Expected store.Revision
}

// Core decides for one account during one term of a lease. It is not safe for
// use by several goroutines.
type Core struct {
	options  Options
	account  *model.Account
	ledger   *ledger.Ledger
	revision store.Revision
	since    time.Time
	reports  map[grant.NodeID]*reported
	// nodes finds the nodes heard in this term by the hash of what names them. Two
	// nodes with one hash leave an empty one.
	nodes    map[uint64]ledger.Node
	previous *plan.Plan
	sequence uint64
	planned  PlannerOutput
	// uncertain tells that one attempt at the pending write had an unknown
	// outcome, so that no later answer can tell that it did not happen.
	uncertain bool
	// ready is a plan whose write is settled and which is to be published.
	ready *plan.Plan
	lost  bool
	// index finds the ledger index of a key.
	index map[ledger.Key]int
	// keysHash is the hash of the names of the first keysHashed keys.
	keysHash   uint64
	keysHashed int
}

// NewCore takes over at now. entry is the stored ledger, or the zero Entry when
// there is none. The account must not be nil.
func NewCore(options Options, account *model.Account, epoch uint64, entry store.Entry, now time.Time) (*Core, error) {
	c := &Core{
		options:  options,
		account:  account,
		revision: entry.Revision,
		since:    now,
		reports:  make(map[grant.NodeID]*reported),
		nodes:    make(map[uint64]ledger.Node),
	}
	limits := ledger.LimitsOf(account)
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
	if options.Ledger.Faults.NoRewrite {
		c.ledger.Written()
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
	c.previous = p
	return nil
}

// Epoch returns the fencing token of the term.
func (c *Core) Epoch() uint64 { return c.ledger.Epoch() }

// Ledger gives access to the ledger, for checks and status.
func (c *Core) Ledger() *ledger.Ledger { return c.ledger }

// PlannerOutput returns the last result of the planner.
func (c *Core) PlannerOutput() PlannerOutput { return c.planned }

// ObserveVMs takes in a reading of the VM list that was made at readAt.
func (c *Core) ObserveVMs(list []ledger.Listed, sequence uint64, readAt time.Time) {
	c.ledger.Observe(list, sequence, readAt)
}

// Step makes the decisions due at now and returns the write that must be made
// before any of them takes effect; ok is false when none is due.
func (c *Core) Step(account *model.Account, now time.Time) (w Write, ok bool) {
	if c.lost {
		return Write{}, false
	}
	if !c.ledger.Pending() {
		c.decide(account, now)
	}
	return c.propose(now)
}

// Reallocate gives what is free to nodes that are short, without a new plan: its
// outcome is that of Step.
func (c *Core) Reallocate(now time.Time) (w Write, ok bool) {
	if c.lost {
		return Write{}, false
	}
	if !c.ledger.Pending() {
		c.allocate(now)
	}
	return c.propose(now)
}

// propose returns the write that the ledger needs before anything of it may be
// sent; ok is false when it needs none.
func (c *Core) propose(now time.Time) (w Write, ok bool) {
	value := c.ledger.Propose(now)
	if value == nil {
		return Write{}, false
	}
	return Write{Value: value, Expected: c.revision}, true
}

func (c *Core) decide(account *model.Account, now time.Time) {
	if c.ledger.SetLimits(ledger.LimitsOf(account)) {
		c.account = account
	}
	c.forget(now)
	c.makePlan(now)
	c.allocate(now)
}

func (c *Core) makePlan(now time.Time) {
	reports, unheard := c.observed(now)
	c.planned = c.options.Planner.Plan(PlannerInput{
		Account:         c.account,
		Reports:         reports,
		UnreportedNodes: unheard,
		PermittedRPS: func(id grant.NodeID, service model.ServiceName) float64 {
			return c.ledger.Permitted(id, service, now).RPS()
		},
		Previous:  c.previous,
		Moves:     c.ledger.Moves(),
		Now:       now,
		TermStart: c.since,
	})
	if c.previous != nil && sameFlows(c.previous.Flows, c.planned.Flows) && c.previous.Epoch == c.Epoch() {
		return
	}
	c.sequence++
	next := &plan.Plan{
		Account:        c.account.Name,
		ConfigRevision: c.account.Revision,
		Epoch:          c.Epoch(),
		Sequence:       c.sequence,
		Flows:          c.planned.Flows,
	}
	body, err := json.Marshal(next)
	if err != nil {
		return
	}
	window := c.account.Moves.Window
	c.ledger.SetPlan(ledger.Plan{Body: body, Sequence: c.sequence}, c.planned.Moves, window, moveMemory*window, now)
	c.previous = next
}

// Settle takes in the outcome of the last write: the revision, or the error of
// store.KV.Swap. It returns ErrSuperseded when another decider has written, and
// ErrUnresolvedWrite when Resolve must be called with the stored entry.
func (c *Core) Settle(revision store.Revision, err error) error {
	switch {
	case err == nil:
		c.written(revision)
		return nil
	case store.IsConflict(err) && c.uncertain:
		return ErrUnresolvedWrite
	case store.IsConflict(err):
		c.lost = true
		return ErrSuperseded
	case errors.Is(err, store.ErrUnavailable) && !c.uncertain:
		return nil
	case c.options.Ledger.Faults.UnknownIsFailed:
		c.ledger.NotWritten()
		return nil
	default:
		c.uncertain = true
		return nil
	}
}

// ErrUnresolvedWrite tells that the outcome of an earlier attempt must be read back.
var ErrUnresolvedWrite = errors.New("decider: read the ledger back")

// Resolve settles a write with a conflict after a lost answer: the stored
// ledger bears its stamp if it took effect.
func (c *Core) Resolve(entry store.Entry) error {
	stamp, err := ledger.StampOf(entry.Value)
	if err != nil {
		return err
	}
	if stamp != c.ledger.Stamp() {
		c.lost = true
		return ErrSuperseded
	}
	c.written(entry.Revision)
	return nil
}

func (c *Core) written(revision store.Revision) {
	c.revision = revision
	c.uncertain = false
	c.ledger.Written()
	if !c.ledger.Unsaved() && c.previous != nil && c.previous.Epoch == c.Epoch() {
		c.ready = c.previous
	}
}

// CommittedPlan returns the plan in force. Before its write is settled it returns
// the one before, nil if there is none of this term.
func (c *Core) CommittedPlan() *plan.Plan { return c.ready }

// MarkPublished notes that the plan of Publish has been given out by now. It must
// be called after that and before the next Step. While a newer plan waits for
// its write it does nothing: the moves of that plan have not begun.
func (c *Core) MarkPublished(now time.Time) {
	if c.ready == nil || c.ready != c.previous {
		return
	}
	c.ledger.Published(now)
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
