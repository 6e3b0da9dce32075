// Package control is a node's share of the control work: it holds the grants
// of this node for every client account, and decides for the accounts whose
// lease this node holds.
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

// System is the control part of one node.
type System struct {
	options Options
	refBody []byte

	// short wakes Run when a node is short, hurried when a decider is to decide
	// out of turn.
	short   chan struct{}
	hurried chan *account
	// hastened wakes Run when a decider asks for a report.
	hastened chan *account
	// sampler is used by Run only.
	sampler *sampler
	// relay passes on reports of other nodes, relays are those that may pass on
	// the reports of this one.
	relay  *relay.Relay
	relays *relayList

	mu       sync.Mutex
	accounts map[model.AccountName]*account
	running  sync.WaitGroup
}

// hurriedRoom is how many requests for a decision or a report out of turn may
// wait; the next round serves those that are dropped.
const hurriedRoom = 64

// New returns a control part that is not running.
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
		options:  options,
		refBody:  body,
		short:    make(chan struct{}, 1),
		hurried:  make(chan *account, hurriedRoom),
		hastened: make(chan *account, hurriedRoom),
		sampler:  newSampler(options.Reports, options.Clock()),
		accounts: make(map[model.AccountName]*account),
		relays:   newRelayList(options),
	}
	s.relay = relay.New(s.relayOptions())
	return s, nil
}

// Register adds the Control and Relay services to a gRPC server.
func (s *System) Register(registrar grpc.ServiceRegistrar) {
	peerpb.RegisterControlServer(registrar, &server{system: s})
	peerpb.RegisterRelayServer(registrar, &relayServer{system: s})
}

// period is the time between two rounds of work.
const period = time.Second

// Run does the control work until the context ends.
func (s *System) Run(ctx context.Context) error {
	defer s.running.Wait()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	s.round(ctx)
	var early <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.round(ctx)
		case <-s.short:
			if early == nil {
				s.sampler.cut(s.options.Clock())
				early = time.After(shortSample)
			}
		case <-early:
			early = nil
			s.reportShort(ctx)
		case a := <-s.hurried:
			s.relieve(ctx, a)
		case a := <-s.hastened:
			s.reportDue(ctx, a, a.measured)
		}
	}
}

// round starts the work of all accounts. An account whose last step still
// waits for the store is left out, so that none delays another.
func (s *System) round(ctx context.Context) {
	reports := s.sampler.regular(s.options.Clock())
	for _, a := range s.refresh() {
		a.holder.Tick()
		now := reports[a.name]
		a.measured = observe.Join(a.measured, now)
		s.reportDue(ctx, a, now)
		s.decide(ctx, a)
	}
}

// reportDue makes the regular report of an account if it is due. It covers all
// that was measured since the last one.
func (s *System) reportDue(ctx context.Context, a *account, recent observe.Report) {
	if a.holder.Due(recent, a.measured) {
		s.report(ctx, a, a.measured)
		a.measured = observe.Report{}
	}
}

// Short tells that requests of an account wait for more than the node has. It
// does not block.
func (s *System) Short(name model.AccountName) {
	a := s.account(name)
	if a == nil || !a.holder.SignalShortage() {
		return
	}
	select {
	case s.short <- struct{}{}:
	default:
	}
}

// reportShort makes the reports of the accounts that are short.
func (s *System) reportShort(ctx context.Context) {
	reports := s.sampler.sinceCut(s.options.Clock())
	for _, a := range s.refresh() {
		if a.holder.DueEarly() {
			s.report(ctx, a, reports[a.name])
		}
	}
}

func (s *System) report(ctx context.Context, a *account, report observe.Report) {
	s.running.Go(func() { a.holder.Report(ctx, report, s.options.Refusing()) })
}

// relieve starts a decision out of turn, unless one was made just now. While a
// step is under way it is put off: that step may have begun before the report
// that asks for it.
func (s *System) relieve(ctx context.Context, a *account) {
	now := s.options.Clock()
	if now.Sub(a.relieved) < relieveEvery {
		return
	}
	if !a.stepping.CompareAndSwap(false, true) {
		time.AfterFunc(gather, a.hurry)
		return
	}
	a.relieved = now
	s.running.Go(func() {
		defer a.stepping.Store(false)
		a.relieve(ctx)
	})
}

// refresh takes the accounts in force into use. An account that is gone from
// the configuration keeps its control work, so that its grants are accounted
// for; with no configuration it makes no decisions.
func (s *System) refresh() []*account {
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

func (s *System) decide(ctx context.Context, a *account) {
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

// Explain returns why the last plan of an account is what it is; ok is false
// when this node does not decide for it.
func (s *System) Explain(name model.AccountName) (explanation any, ok bool) {
	a := s.account(name)
	if a == nil {
		return nil, false
	}
	status := a.decider.Status()
	return status.Explanation, status.Deciding
}

// AccountStatus is what operators see of the control work of one account.
type AccountStatus struct {
	Account model.AccountName
	Decider decider.Status
	Holder  holder.Status
}

// Status returns the state of all accounts.
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

// RelayStatus returns what this node has passed on for others.
func (s *System) RelayStatus() relay.Status { return s.relay.Status() }

// Stop gives back the leases and the grants of this node, so that others go on
// at once; call it after the node takes no new requests. Run must still be
// running, and no decision is started after it.
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
