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

// Lease tells whether the account's lease is held, and its epoch.
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
	// Configured returns the account in force on this node, nil for none.
	Configured func() *model.Account
	// VMList returns the last reading of the VM list, its sequence and age; ok is
	// false while there is none.
	VMList func() (list []ledger.Listed, sequence uint64, age time.Duration, ok bool)
	// Publish sends a plan to all nodes. It must not wait for them.
	Publish func(*plan.Plan)
	// HastenNode asks a node to report; it must not wait for the node.
	HastenNode func(node ledger.Node, epoch uint64)
	// RequestReallocation asks for a call of Reallocate soon; it must not block.
	RequestReallocation func()
	Clock               func() time.Time
	Logger              logrus.FieldLogger
	// CallTimeout bounds a call to the store.
	CallTimeout time.Duration
}

// DefaultCallTimeout bounds a call to the store.
const DefaultCallTimeout = 2 * time.Second

// holdTime bounds how long the answer to a node that is short waits for the
// next step. It is below the time after which a node takes no answer.
const holdTime = 1500 * time.Millisecond

// Runner does the I/O of a Core: it takes over when the lease is won, writes
// the ledger and publishes plans. It makes at most one write a step.
type Runner struct {
	options RunnerOptions

	// mu guards core; it is not held over I/O.
	mu        sync.Mutex
	core      *Core
	published *plan.Plan
	writes    uint64
	// next is closed when a step that has not begun yet has ended: it decides
	// with all reports taken in so far.
	next chan struct{}
}

// NewRunner returns a runner that decides nothing yet.
func NewRunner(options RunnerOptions) *Runner {
	return &Runner{options: options, next: make(chan struct{})}
}

// Step does the work due now. It must be called by one goroutine, each second.
// An error means that the term is over and the lease is to be given up.
func (r *Runner) Step(ctx context.Context) error {
	defer close(r.beginStep())
	epoch, held := r.options.Lease.Held()
	account := r.options.Configured()
	if !held || account == nil {
		r.end()
		return nil
	}
	if !r.deciding(epoch) {
		if err := r.begin(ctx, epoch, account); err != nil {
			return err
		}
	}
	return r.commit(ctx, func() (Write, bool) { return r.propose(account) })
}

// Reallocate gives what is free to nodes that are short, between two steps. It is
// called like Step, and its error means the same.
func (r *Runner) Reallocate(ctx context.Context) error {
	defer close(r.beginStep())
	epoch, held := r.options.Lease.Held()
	if !held || !r.deciding(epoch) {
		return nil
	}
	return r.commit(ctx, r.relieve)
}

func (r *Runner) relieve() (Write, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core == nil {
		return Write{}, false
	}
	return r.core.Reallocate(r.options.Clock())
}

// beginStep returns what is to be closed when the step has ended.
func (r *Runner) beginStep() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.next
	r.next = make(chan struct{})
	return ended
}

func (r *Runner) deciding(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core != nil && r.core.Epoch() == epoch
}

func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core != nil {
		r.options.Logger.WithField("account", r.options.Account).Info("control: no longer deciding")
	}
	r.core = nil
	r.published = nil
}

// begin reads the ledger and takes over.
func (r *Runner) begin(ctx context.Context, epoch uint64, account *model.Account) error {
	r.end()
	entry, err := r.read(ctx)
	if err != nil {
		// The store is out: the lease ends by itself unless it comes back.
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

func (r *Runner) read(ctx context.Context) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	entry, err := r.options.KV.Get(ctx, LedgerKey(r.options.Account))
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, nil
	}
	return entry, err
}

// commit makes the step's decisions, the write they need, and gives out a plan
// that is written.
func (r *Runner) commit(ctx context.Context, propose func() (Write, bool)) error {
	if err := r.write(ctx, propose); err != nil {
		r.end()
		return err
	}
	r.publish()
	r.hasten()
	return nil
}

// hasten asks the nodes that report seldom and whose grants are to change.
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

func (r *Runner) write(ctx context.Context, propose func() (Write, bool)) error {
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
	entry, err := r.read(ctx)
	if err != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Resolve(entry)
}

func (r *Runner) publish() {
	p := r.fresh()
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

// fresh returns a plan that has not been published yet, or nil.
func (r *Runner) fresh() *plan.Plan {
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

// Renew answers a report. The lease is checked after the report was received,
// so that nothing given in the answer can outlive the wait of the next
// decider, however long the answer then takes. The answer to a node that is
// short waits for the next step, which is asked for.
func (r *Runner) Renew(ctx context.Context, request *peerpb.RenewRequest) *peerpb.RenewResponse {
	response, stepped := r.take(request)
	if response != nil {
		return response
	}
	r.options.RequestReallocation()
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	select {
	case <-stepped:
	case <-ctx.Done():
	}
	return r.answer(request)
}

// take takes in a report and answers it. When the answer is to wait it returns
// what is closed after the next step in place of it.
func (r *Runner) take(request *peerpb.RenewRequest) (response *peerpb.RenewResponse, stepped <-chan struct{}) {
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
		return nil, r.next
	default:
		return r.core.Respond(request, now), nil
	}
}

// answer answers a report that was held. The lease may have ended meanwhile.
func (r *Runner) answer(request *peerpb.RenewRequest) *peerpb.RenewResponse {
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

// Status is what operators see of a decider.
type Status struct {
	Deciding bool
	Epoch    uint64
	Nodes    int
	// Unlisted counts nodes that the VM list does not show at the address
	// they report; they get no floor.
	Unlisted    int
	LedgerBytes int
	Writes      uint64
	// Over names a limit that more is out than; empty when there is none.
	Over string
	// Explanation is that of the last plan.
	Explanation any
}

// Status returns the present state.
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
	s.Nodes = l.Nodes()
	s.Unlisted = l.Unlisted()
	s.LedgerBytes = l.Bytes()
	s.Explanation = r.core.PlannerOutput().Explanation
	if err := l.Outstanding(r.options.Clock()).Check(l.Limits()); err != nil {
		s.Over = err.Error()
	}
	return s
}
