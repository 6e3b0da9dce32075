package decider

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/store"
)

// Lease reports whether the account's lease is held, and its epoch.
type Lease interface {
	Held() (epoch uint64, ok bool)
}

// LedgerKey returns the store key of an account's ledger.
func LedgerKey(account model.AccountName) string { return "ledger/" + string(account) }

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Options
	Account model.AccountName
	KV      store.KV
	Lease   Lease
	// Configured returns the account's configuration in force on this node, nil for
	// none.
	Configured func() *model.Account
	// VMList returns the last VM list, its sequence and its age; ok is false if
	// there is none.
	VMList func() (list []ledger.ListedVM, sequence uint64, age time.Duration, ok bool)
	// Publish sends a plan to all nodes. It must not wait for them.
	Publish func(*plan.Plan)
	// HastenNode asks a node to report. It must not wait for the node.
	HastenNode func(node ledger.Node, epoch uint64)
	// RequestReallocation schedules a call of Reallocate. It must not block.
	RequestReallocation func()
	Clock               func() time.Time
	Logger              logrus.FieldLogger
	// CallTimeout bounds a call to the store.
	CallTimeout time.Duration
}

// DefaultCallTimeout is the default for RunnerOptions.CallTimeout.
const DefaultCallTimeout = 2 * time.Second

// maxHoldTime limits how long the answer to a node short of capacity waits for the
// next step. It is shorter than the request timeout of a node.
const maxHoldTime = 1500 * time.Millisecond

// Runner does the I/O of a Core: it starts a term when the lease is acquired, writes
// the ledger and publishes plans. It makes at most one write per step.
type Runner struct {
	options RunnerOptions

	// mu guards core; it is not held over I/O.
	mu        sync.Mutex
	core      *Core
	published *plan.Plan
	writes    uint64
	// nextStep is closed when the next step to begin has ended. That step considers
	// all reports recorded so far.
	nextStep chan struct{}
}

// NewRunner returns a runner that is not deciding.
func NewRunner(options RunnerOptions) *Runner {
	return &Runner{options: options, nextStep: make(chan struct{})}
}

// Step does the work due now. It must be called once a second, always by the same
// goroutine. An error means that the term is over and the lease must be given up.
func (r *Runner) Step(ctx context.Context) error {
	defer close(r.beginStep())
	epoch, held := r.options.Lease.Held()
	account := r.options.Configured()
	if !held || account == nil {
		r.endTerm()
		return nil
	}
	if !r.deciding(epoch) {
		if err := r.beginTerm(ctx, epoch, account); err != nil {
			return err
		}
	}
	return r.commit(ctx, func() (Write, bool) { return r.propose(account) })
}

// Reallocate grants free capacity to nodes short of it between two steps. It must be
// called by the same goroutine as Step, and its error has the same meaning.
func (r *Runner) Reallocate(ctx context.Context) error {
	defer close(r.beginStep())
	epoch, held := r.options.Lease.Held()
	if !held || !r.deciding(epoch) {
		return nil
	}
	return r.commit(ctx, r.reallocate)
}

func (r *Runner) reallocate() (Write, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core == nil {
		return Write{}, false
	}
	return r.core.Reallocate(r.options.Clock())
}

// beginStep returns the channel to close when the step has ended.
func (r *Runner) beginStep() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.nextStep
	r.nextStep = make(chan struct{})
	return ended
}

func (r *Runner) deciding(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core != nil && r.core.Epoch() == epoch
}

func (r *Runner) endTerm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core != nil {
		r.options.Logger.WithField("account", r.options.Account).Info("control: no longer deciding")
	}
	r.core = nil
	r.published = nil
}

// beginTerm reads the ledger and starts a term.
func (r *Runner) beginTerm(ctx context.Context, epoch uint64, account *model.Account) error {
	r.endTerm()
	entry, err := r.readLedger(ctx)
	if err != nil {
		// The store is unreachable: the lease expires unless the store recovers.
		return nil
	}
	now := r.options.Clock()
	core, err := NewCore(r.options.Options, account, epoch, entry, now)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.core = core
	r.mu.Unlock()
	r.options.Logger.WithFields(logrus.Fields{"account": account.Name, "epoch": epoch}).Info("control: deciding")
	return nil
}

func (r *Runner) readLedger(ctx context.Context) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	entry, err := r.options.KV.Get(ctx, LedgerKey(r.options.Account))
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, nil
	}
	return entry, err
}

// commit writes the ledger if necessary, publishes a committed plan and asks nodes
// to report.
func (r *Runner) commit(ctx context.Context, propose func() (Write, bool)) error {
	if err := r.writeLedger(ctx, propose); err != nil {
		r.endTerm()
		return err
	}
	r.publish()
	r.hasten()
	return nil
}

// hasten asks nodes to report whose grants are about to change and that will not
// report soon.
func (r *Runner) hasten() {
	r.mu.Lock()
	if r.core == nil {
		r.mu.Unlock()
		return
	}
	nodes := r.core.NodesToHasten(r.options.Clock())
	epoch := r.core.Epoch()
	r.mu.Unlock()
	for _, node := range nodes {
		r.options.HastenNode(node, epoch)
	}
}

func (r *Runner) writeLedger(ctx context.Context, propose func() (Write, bool)) error {
	write, due := propose()
	if !due {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	revision, err := r.options.KV.Swap(callCtx, LedgerKey(r.options.Account), write.Value, write.Expected, 0)
	cancel()
	r.mu.Lock()
	r.writes++
	err = r.core.Settle(revision, err)
	r.mu.Unlock()
	if errors.Is(err, ErrUnresolvedWrite) {
		return r.resolve(ctx)
	}
	return err
}

func (r *Runner) propose(account *model.Account) (Write, bool) {
	list, sequence, age, ok := r.options.VMList()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core == nil {
		return Write{}, false
	}
	now := r.options.Clock()
	if ok {
		r.core.ObserveVMs(list, sequence, now.Add(-age))
	}
	return r.core.Step(account, now)
}

func (r *Runner) resolve(ctx context.Context) error {
	entry, err := r.readLedger(ctx)
	if err != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Resolve(entry)
}

func (r *Runner) publish() {
	p := r.unpublishedPlan()
	if p == nil {
		return
	}
	r.options.Publish(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core != nil {
		r.core.MarkPublished(r.options.Clock())
	}
}

// unpublishedPlan returns a committed plan that has not been published yet, or nil.
func (r *Runner) unpublishedPlan() *plan.Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core == nil {
		return nil
	}
	p := r.core.CommittedPlan()
	if p == r.published {
		return nil
	}
	r.published = p
	return p
}

// Renew answers a report. The lease is checked after the report was received, so
// that no grant in the answer outlives the waiting time of the next decider. The
// answer to a node short of capacity waits for the next step, which is requested.
func (r *Runner) Renew(ctx context.Context, request *peerpb.RenewRequest) *peerpb.RenewResponse {
	response, stepped := r.recordReport(request)
	if response != nil {
		return response
	}
	r.options.RequestReallocation()
	ctx, cancel := context.WithTimeout(ctx, maxHoldTime)
	defer cancel()
	select {
	case <-stepped:
	case <-ctx.Done():
	}
	return r.respond(request)
}

// recordReport records a report and answers it. If the answer must wait for the next
// step, it returns a channel that is closed after that step instead.
func (r *Runner) recordReport(request *peerpb.RenewRequest) (response *peerpb.RenewResponse, stepped <-chan struct{}) {
	epoch, held := r.options.Lease.Held()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !held || r.core == nil || r.core.Epoch() != epoch {
		return notLeader(), nil
	}
	now := r.options.Clock()
	response, hold := r.core.RecordReport(request, now)
	switch {
	case response != nil:
		return response, nil
	case hold:
		return nil, r.nextStep
	default:
		return r.core.Respond(request, now), nil
	}
}

// respond answers a report that was held. The lease may have ended meanwhile.
func (r *Runner) respond(request *peerpb.RenewRequest) *peerpb.RenewResponse {
	epoch, held := r.options.Lease.Held()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !held || r.core == nil || r.core.Epoch() != epoch {
		return notLeader()
	}
	return r.core.Respond(request, r.options.Clock())
}

func notLeader() *peerpb.RenewResponse {
	return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}
}

// Status is the state of a decider that is shown to operators.
type Status struct {
	Deciding bool
	Epoch    uint64
	Nodes    int
	// Unlisted counts nodes that the VM list does not contain at the address they
	// report; they get no floor.
	Unlisted    int
	LedgerBytes int
	Writes      uint64
	// Over describes a limit that the grants exceed, empty for none.
	Over string
	// Explanation is that of the last plan.
	Explanation any
}

// Status returns the current state.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Writes: r.writes}
	if r.core == nil {
		return s
	}
	l := r.core.Ledger()
	s.Deciding = true
	s.Epoch = r.core.Epoch()
	s.Nodes = l.NodeCount()
	s.Unlisted = l.UnlistedCount()
	s.LedgerBytes = l.RecordSize()
	s.Explanation = r.core.PlannerOutput().Explanation
	if err := l.Outstanding(r.options.Clock()).Check(l.Limits()); err != nil {
		s.Over = err.Error()
	}
	return s
}
