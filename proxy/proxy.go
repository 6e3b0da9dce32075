// Package proxy carries callers' requests to targets. It guarantees that a
// caller gets the complete answer to its own request or an error, that "not
// run" is reported only if it is certain, and that a non-idempotent request is
// never sent to a second target after it may have run at the first.
package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/proxy/buffer"
	"github.com/yuccaroute/yuccaroute/proxy/drain"
	"github.com/yuccaroute/yuccaroute/proxy/kept"
)

// maintenanceInterval is how often shares are stepped towards the plan and the
// limits of targets are updated.
const maintenanceInterval = 100 * time.Millisecond

// Proxy is the request path of one node. It is safe for concurrent use.
type Proxy struct {
	options  Options
	log      *logrus.Entry
	start    time.Time
	gate     drain.Gate
	bytes    *buffer.Budget
	inFlight *buffer.Budget
	// kept is nil if no answers are kept.
	kept *kept.Store
	// keepAlivesDisabled makes every response close its caller connection.
	keepAlivesDisabled atomic.Bool

	// current is the state that requests read.
	current atomic.Pointer[snapshot]

	// mu serializes the setters; requests never take it.
	mu       sync.Mutex
	accounts map[model.AccountName]*accountState
	list     membership.List

	// baseContext is cancelled by Close and ends the requests in flight.
	baseContext     context.Context
	cancelBase      context.CancelFunc
	maintenanceDone chan struct{}
	parents         *parentContexts
}

var _ http.Handler = (*Proxy)(nil)

// New returns a proxy that has no accounts yet and refuses every request.
func New(o Options) (*Proxy, error) {
	if o.Node.VM == "" {
		return nil, ErrNoNode
	}
	o.setDefaults()
	base, end := context.WithCancel(context.Background())
	p := &Proxy{
		options:         o,
		log:             o.Logger.WithField("part", "proxy"),
		start:           time.Now(),
		bytes:           buffer.NewBudget(o.MaxBufferedBytes),
		inFlight:        buffer.NewBudget(o.MaxInFlight),
		accounts:        make(map[model.AccountName]*accountState),
		baseContext:     base,
		cancelBase:      end,
		maintenanceDone: make(chan struct{}),
		parents:         newParentContexts(base),
	}
	if o.KeptAnswerBytes > 0 {
		p.kept = kept.New(kept.Options{MaxBytes: o.KeptAnswerBytes})
	}
	p.current.Store(&snapshot{})
	go p.maintain()
	return p, nil
}

// SetAccount applies the configuration of an account. A revision lower than the
// current one is ignored.
func (p *Proxy) SetAccount(a *model.Account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.accountState(a.Name)
	if s.account != nil && a.Revision < s.account.Revision {
		return
	}
	s.setAccount(a, p.now())
	s.setTargets(p.list, p.now())
	p.publish(s)
	p.log.Infof("proxy: applied account %s at revision %d", a.Name, a.Revision)
}

// SetPlan sets the plan that the node's shares are stepped towards under the
// account's move cap. A plan that is not newer is ignored.
func (p *Proxy) SetPlan(next *plan.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.accountState(next.Account)
	s.setPlan(next)
	p.publish(s)
}

// SetGrants applies a set of grants. Once it returns, no request is admitted on
// an older set. A set older than the current one is ignored.
func (p *Proxy) SetGrants(set *grant.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.accountState(set.Account)
	s.setGrants(set, p.options.Clock())
}

// SetTargets applies a version of the VM list.
func (p *Proxy) SetTargets(list membership.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	for _, s := range p.accounts {
		s.setTargets(list, p.now())
	}
}

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int { return p.gate.InFlight() }

// DisableKeepAlives closes each caller connection after its next response;
// requests are still served. Call it before Drain: a request sent on a
// connection that the exiting node closes would end with an unknown outcome.
func (p *Proxy) DisableKeepAlives() { p.keepAlivesDisabled.Store(true) }

// Drain refuses new requests as not run and returns when those in flight have
// ended, or with the context's error.
func (p *Proxy) Drain(ctx context.Context) error {
	began := time.Now()
	err := p.gate.Wait(ctx)
	p.log.Infof("proxy: drained in %s, %d requests in flight", time.Since(began), p.gate.InFlight())
	return err
}

// Close ends the requests in flight, each with its actual outcome, and closes
// all connections to targets. Call Drain first.
func (p *Proxy) Close() {
	p.gate.Close()
	p.cancelBase()
	<-p.maintenanceDone
	_ = p.gate.Wait(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.accounts {
		s.close()
	}
}

// now returns the nanoseconds on the monotonic clock since the proxy was
// created.
func (p *Proxy) now() int64 { return int64(time.Since(p.start)) }

// accountState returns the state of an account and creates it if needed. p.mu
// must be held.
func (p *Proxy) accountState(name model.AccountName) *accountState {
	s := p.accounts[name]
	if s == nil {
		s = newAccountState(p, name)
		p.accounts[name] = s
	}
	return s
}

// publish replaces the account's view in the current snapshot. p.mu must be
// held.
func (p *Proxy) publish(s *accountState) {
	if s.account == nil {
		return
	}
	p.current.Store(p.current.Load().with(s.view()))
}

func (p *Proxy) maintain() {
	defer close(p.maintenanceDone)
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.baseContext.Done():
			return
		case <-tick.C:
			p.maintainOnce()
		}
	}
}

func (p *Proxy) maintainOnce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.accounts {
		s.updateLimits()
		if s.moveCapped && s.advance(nil) {
			p.publish(s)
		}
		s.updateRelocationBudgets()
	}
}
