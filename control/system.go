// Package control runs the control work of a node: it holds the node's grants for
// every client account, and acts as the decider of the accounts whose lease the
// node holds.
package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/holder"
	"github.com/yuccaroute/yuccaroute/control/relay"
)

// System is the control system of one node.
type System struct {
	options Options
	refBody []byte

	// shortages wakes Run for early reports, reallocations for immediate
	// reallocations.
	shortages     chan struct{}
	reallocations chan *account
	// reportRequests wakes Run when a decider requests a report.
	reportRequests chan *account
	// sampler is used by Run only.
	sampler *sampler
	// relay forwards reports of other nodes; relays caches the nodes that may forward
	// this node's reports.
	relay  *relay.Relay
	relays *memberCache

	mu       sync.Mutex
	accounts map[model.AccountName]*account
	running  sync.WaitGroup
}

// wakeQueueSize bounds the queued requests for reallocations and for reports; the next
// round serves the dropped ones.
const wakeQueueSize = 64

// New returns a control system; Run starts it.
func New(options Options) (*System, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	body, err := encodeRef(options.Ref)
	if err != nil {
		return nil, err
	}
	s := &System{
		options:        options,
		refBody:        body,
		shortages:      make(chan struct{}, 1),
		reallocations:  make(chan *account, wakeQueueSize),
		reportRequests: make(chan *account, wakeQueueSize),
		sampler:        newSampler(options.Reports, options.Clock()),
		accounts:       make(map[model.AccountName]*account),
		relays:         newMemberCache(options),
	}
	s.relay = relay.New(s.relayOptions())
	return s, nil
}

// Register adds the Control and Relay services to a gRPC server.
func (s *System) Register(registrar grpc.ServiceRegistrar) {
	peerpb.RegisterControlServer(registrar, &server{system: s})
	peerpb.RegisterRelayServer(registrar, &relayServer{system: s})
}

// roundInterval is the time between two rounds of work.
const roundInterval = time.Second

// Run does the control work until the context is done.
func (s *System) Run(ctx context.Context) error {
	defer s.running.Wait()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	s.round(ctx)
	var early <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.round(ctx)
		case <-s.shortages:
			if early == nil {
				s.sampler.beginEarly(s.options.Clock())
				early = time.After(earlySampleTime)
			}
		case <-early:
			early = nil
			s.reportShortages(ctx)
		case a := <-s.reallocations:
			s.startReallocation(ctx, a)
		case a := <-s.reportRequests:
			s.reportIfDue(ctx, a, a.unreported)
		}
	}
}

// round starts the work of all accounts. It skips steps of accounts whose last step
// still waits for the store, so that no account delays another.
func (s *System) round(ctx context.Context) {
	reports := s.sampler.takeRegular(s.options.Clock())
	for _, a := range s.refreshAccounts() {
		a.holder.Tick()
		recent := reports[a.name]
		a.unreported = observe.Join(a.unreported, recent)
		s.reportIfDue(ctx, a, recent)
		s.startStep(ctx, a)
	}
}

// reportIfDue sends the regular report of an account if it is due. The report covers
// the time since the last one.
func (s *System) reportIfDue(ctx context.Context, a *account, recent observe.Report) {
	if a.holder.Due(recent, a.unreported) {
		s.report(ctx, a, a.unreported)
		a.unreported = observe.Report{}
	}
}

// SignalShortage signals that an account's requests wait because its grant is used up.
// It does not block.
func (s *System) SignalShortage(name model.AccountName) {
	a := s.account(name)
	if a == nil || !a.holder.SignalShortage() {
		return
	}
	select {
	case s.shortages <- struct{}{}:
	default:
	}
}

// reportShortages sends the early reports that are due.
func (s *System) reportShortages(ctx context.Context) {
	reports := s.sampler.takeEarly(s.options.Clock())
	for _, a := range s.refreshAccounts() {
		if a.holder.DueEarly() {
			s.report(ctx, a, reports[a.name])
		}
	}
}

func (s *System) report(ctx context.Context, a *account, report observe.Report) {
	s.running.Go(func() { a.holder.Report(ctx, report, s.options.AdmissionClosed()) })
}

// startReallocation starts an immediate reallocation unless one was made recently.
// During a step it is delayed, because that step may have begun before the report
// that requested it.
func (s *System) startReallocation(ctx context.Context, a *account) {
	now := s.options.Clock()
	if now.Sub(a.lastReallocation) < minReallocationInterval {
		return
	}
	if !a.stepping.CompareAndSwap(false, true) {
		time.AfterFunc(reallocationDelay, a.requestReallocation)
		return
	}
	a.lastReallocation = now
	s.running.Go(func() {
		defer a.stepping.Store(false)
		a.reallocate(ctx)
	})
}

// refreshAccounts updates the accounts from the configuration. An account that was
// removed from it is kept, so that its grants stay accounted for.
func (s *System) refreshAccounts() []*account {
	configured := s.options.Accounts()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range configured {
		a := s.accounts[c.Name]
		if a == nil {
			a = newAccount(s, c.Name)
			s.accounts[c.Name] = a
		}
		a.configured.Store(c)
	}
	all := make([]*account, 0, len(s.accounts))
	for _, a := range s.accounts {
		all = append(all, a)
	}
	return all
}

func (s *System) startStep(ctx context.Context, a *account) {
	if !a.stepping.CompareAndSwap(false, true) {
		return
	}
	s.running.Go(func() {
		defer a.stepping.Store(false)
		a.step(ctx)
	})
}

func (s *System) account(name model.AccountName) *account {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accounts[name]
}

// Explain returns the explanation of an account's last plan; ok is false if this node
// is not its decider.
func (s *System) Explain(name model.AccountName) (explanation any, ok bool) {
	a := s.account(name)
	if a == nil {
		return nil, false
	}
	status := a.decider.Status()
	return status.Explanation, status.Deciding
}

// AccountStatus is the state of the control work of one account.
type AccountStatus struct {
	Account model.AccountName
	Decider decider.Status
	Holder  holder.Status
}

// Status returns the state of all accounts, sorted by name.
func (s *System) Status() []AccountStatus {
	s.mu.Lock()
	accounts := make([]*account, 0, len(s.accounts))
	for _, a := range s.accounts {
		accounts = append(accounts, a)
	}
	s.mu.Unlock()
	var all []AccountStatus
	for _, a := range accounts {
		all = append(all, AccountStatus{Account: a.name, Decider: a.decider.Status(), Holder: a.holder.Status()})
	}
	sortStatus(all)
	return all
}

// RelayStatus returns the state of the relay on this node.
func (s *System) RelayStatus() relay.Status { return s.relay.Status() }

// Stop releases the leases and grants of this node, so that other nodes take over
// without delay. Call it after the node has stopped accepting requests and while Run
// is still running. It starts no new decisions afterwards.
func (s *System) Stop(ctx context.Context) {
	s.mu.Lock()
	accounts := make([]*account, 0, len(s.accounts))
	for _, a := range s.accounts {
		accounts = append(accounts, a)
	}
	s.mu.Unlock()
	var stops sync.WaitGroup
	for _, a := range accounts {
		stops.Go(func() { a.stop(ctx) })
	}
	stops.Wait()
}
