// Package proxy carries callers' requests to targets. It keeps three promises
// at any moment: a caller gets the whole answer to its own request or is told
// so, "not run" is only said when it is certain, and non-idempotent work is
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

// maintainEvery is how often shares are stepped towards the plan and the
// bounds of targets are adapted.
const maintainEvery = 100 * time.Millisecond

// Proxy is the request path of one node. All methods are safe for use by
// several goroutines.
type Proxy struct {
	options  Options
	log      *logrus.Entry
	start    time.Time
	gate     drain.Gate
	bytes    *buffer.Budget
	inFlight *buffer.Budget
	// kept is nil if no answers are kept.
	kept *kept.Store
	// parting tells that every answer ends its connection.
	parting atomic.Bool

	// current is what requests read.
	current atomic.Pointer[snapshot]

	// mu orders the setters; requests never take it.
	mu       sync.Mutex
	accounts map[model.AccountName]*accountState
	list     membership.List

	// base ends when the proxy is closed; it ends requests in hand.
	base     context.Context
	endBase  context.CancelFunc
	loopDone chan struct{}
	bases    *bases
}

var _ http.Handler = (*Proxy)(nil)

// New returns a proxy that knows no account yet and refuses every request.
func New(o Options) (*Proxy, error) {
	if o.Node.VM == "" {
		return nil, ErrNoNode
	}
	o.setDefaults()
	base, end := context.WithCancel(context.Background())
	p := &Proxy{
		options:  o,
		log:      o.Logger.WithField("part", "proxy"),
		start:    time.Now(),
		bytes:    buffer.NewBudget(o.MaxBufferedBytes),
		inFlight: buffer.NewBudget(o.MaxInFlight),
		accounts: make(map[model.AccountName]*accountState),
		base:     base,
		endBase:  end,
		loopDone: make(chan struct{}),
		bases:    newBases(base),
	}
	if o.KeptAnswerBytes > 0 {
		p.kept = kept.New(kept.Options{Bytes: o.KeptAnswerBytes})
	}
	p.current.Store(&snapshot{})
	go p.maintain()
	return p, nil
}

// SetAccount puts an account in force. One of a lower revision than the
// account in force is ignored.
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
	p.log.Infof("proxy: account %s in force at revision %d", a.Name, a.Revision)
}

// SetPlan hands over a plan; the node's shares step towards it under the
// account's move cap. A plan that is not newer is ignored.
func (p *Proxy) SetPlan(next *plan.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.accountState(next.Account)
	s.setPlan(next)
	p.publish(s)
}

// SetGrants puts a set in force and then returns: no request is admitted on an
// older set afterwards. A set that is older than the one in force is ignored.
func (p *Proxy) SetGrants(set *grant.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.accountState(set.Account)
	s.setGrants(set, p.options.Clock())
}

// SetTargets puts a reading of the VM list in force.
func (p *Proxy) SetTargets(list membership.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	for _, s := range p.accounts {
		s.setTargets(list, p.now())
	}
}

// InFlight returns the number of requests in hand.
func (p *Proxy) InFlight() int { return p.gate.Open() }

// DisableKeepAlives closes each caller connection after its next response;
// requests are still served. Call it before Drain: a request sent on a connection
// that the exiting node closes would end with an unknown outcome.
func (p *Proxy) DisableKeepAlives() { p.parting.Store(true) }

// Drain refuses new requests as not run and returns when those in hand have
// ended, or with the context's error.
func (p *Proxy) Drain(ctx context.Context) error {
	began := time.Now()
	err := p.gate.Wait(ctx)
	p.log.Infof("proxy: drained in %s, %d requests left", time.Since(began), p.gate.Open())
	return err
}

// Close ends the requests in hand, each with its true outcome, and closes all
// connections to targets. Call Drain first.
func (p *Proxy) Close() {
	p.gate.Close()
	p.endBase()
	<-p.loopDone
	_ = p.gate.Wait(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.accounts {
		s.close()
	}
}

// now returns nanoseconds on the monotonic clock since the proxy began.
func (p *Proxy) now() int64 { return int64(time.Since(p.start)) }

// accountState is called with the lock held.
func (p *Proxy) accountState(name model.AccountName) *accountState {
	s := p.accounts[name]
	if s == nil {
		s = newAccountState(p, name)
		p.accounts[name] = s
	}
	return s
}

// publish is called with the lock held.
func (p *Proxy) publish(s *accountState) {
	if s.account == nil {
		return
	}
	p.current.Store(p.current.Load().with(s.view()))
}

// maintain steps shares and adapts bounds until the proxy is closed.
func (p *Proxy) maintain() {
	defer close(p.loopDone)
	tick := time.NewTicker(maintainEvery)
	defer tick.Stop()
	for {
		select {
		case <-p.base.Done():
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
		s.adapt()
		if s.held && s.advance(nil) {
			p.publish(s)
		}
		s.refreshLeft()
	}
}
