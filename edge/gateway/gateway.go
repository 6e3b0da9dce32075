// Package gateway carries requests from callers to targets. It keeps three
// promises: a caller gets the whole answer to its own request or learns it, "not
// run" is only said when it is certain, and work that must not run twice is never
// sent again after it may have run.
package gateway

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/retrybudget"
	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/route"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

const (
	// budgetMargin is the part of the deployment's retry budget that is used: the
	// sum over all VMs must stay below it also while they disagree on their number.
	budgetMargin = 0.85
	// firstIdle is how long an idle connection is kept to a target that has not
	// stated when it closes them.
	firstIdle = 4 * time.Second
	// poolMargin is the part of a target's connections that the VMs use in sum.
	poolMargin = 0.6
	// minPool is the least number of connections to one target.
	minPool = 8
)

// Metrics counts what happens to requests.
type Metrics interface {
	// RequestEnded counts a request that ended with a numbered result.
	RequestEnded(route, service string, code int, took time.Duration)
	// AttemptEnded counts one sending to a target.
	AttemptEnded(service, end string)
	// RequestDelegated counts one request that was passed on to the owner of its key.
	RequestDelegated(end string)
	// TargetCrashed counts one target that ended without a plan while requests ran there.
	TargetCrashed(service string)
}

// Options configure a Gateway.
type Options struct {
	Fields   site.FieldNames
	Balancer *placing.Balancer
	Logger   *logrus.Entry
	Metrics  Metrics
	// RetryRatio and RetryExtra bound the sendings beyond the first of each
	// request, of all VMs together, in a window.
	RetryRatio, RetryExtra float64
	// VMCount returns how many VMs share the budget.
	VMCount func() int
	// RTT returns the round-trip time to a region.
	RTT func(region string) time.Duration
	// InFlightChanged is told when the requests in flight changed. It must not block.
	InFlightChanged func()
	// Owners names the VM that decides on a key; nil if this one decides on all.
	Owners *owners.Table
	// Quarantine knows the requests that end targets; nil if none is kept from them.
	Quarantine *quarantine.Quarantine
	// MaxAnswerBytes bounds one answer.
	MaxAnswerBytes int64
	// Dial returns how connections to targets at a network delay, there and back, are
	// opened; nil means by TCP.
	Dial func(delay time.Duration) pool.Dial
}

// Gateway is safe for use by several goroutines.
type Gateway struct {
	options Options
	table   atomic.Pointer[route.Table]
	// connections bounds those to one target, by service.
	connections atomic.Pointer[map[string]int]
	leaving     atomic.Bool
	losses      *losses

	mu sync.Mutex
	// pools are by poolKey.
	pools map[string]*pool.Pool
	// ownerPools are by the address of the owner.
	ownerPools map[string]*pool.Pool
	budgets    map[string]*retrybudget.Budget
}

// New returns a gateway without a configuration: it refuses every request as not
// run until SetView brings one.
func New(o Options) *Gateway {
	if o.Dial == nil {
		o.Dial = dialer
	}
	return &Gateway{
		options: o, pools: make(map[string]*pool.Pool), ownerPools: make(map[string]*pool.Pool),
		budgets: make(map[string]*retrybudget.Budget), losses: newLosses(),
	}
}

// SetView puts a view in force: routes first, then targets.
func (g *Gateway) SetView(v *catalog.View, now time.Time) {
	if v.Config == nil {
		return
	}
	last := g.table.Load()
	if last == nil || last.Version != v.Config.Version {
		g.table.Store(route.NewTable(v.Config, last))
	}
	connections := make(map[string]int, len(v.Config.Services))
	for name, service := range v.Config.Services {
		connections[name] = service.MaxConnections
	}
	g.connections.Store(&connections)
	list := make([]placing.TargetSpec, 0, len(v.Targets))
	listed := make(map[string]bool, len(v.Targets))
	for _, t := range v.Targets {
		list = append(list, placing.TargetSpec{Target: t.Target, ColdUntil: t.ReceivedAt.Add(t.ColdRemaining)})
		listed[poolKey(&t.Target)] = true
	}
	g.options.Balancer.SetTargets(now, v.Config.Services, list, v.Evacuated)
	g.closePools(listed)
	g.losses.forget(listed)
}

// Ready reports whether a configuration is known.
func (g *Gateway) Ready() bool { return g.table.Load() != nil }

// Version returns the version of the configuration in force, 0 for none.
func (g *Gateway) Version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Leave refuses new requests as not run.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// closePools closes the connections to targets that are gone.
func (g *Gateway) closePools(listed map[string]bool) {
	g.mu.Lock()
	var gone []*pool.Pool
	for id, p := range g.pools {
		if !listed[id] {
			gone = append(gone, p)
			delete(g.pools, id)
		}
	}
	g.mu.Unlock()
	for _, p := range gone {
		p.Close()
	}
}

// poolKey names one start of a target: connections to an earlier one are dead. It reads only
// what never changes of a listed target, as the balancer sets the rest meanwhile.
func poolKey(t *site.Target) string {
	return t.ID + " " + t.Address + " " + strconv.FormatInt(t.StartedMillis, 36)
}

// poolOf returns the connections to a target.
func (g *Gateway) poolOf(t *placing.Target) *pool.Pool {
	connections := 0
	if known := g.connections.Load(); known != nil {
		connections = (*known)[t.Service]
	}
	limit := max(minPool, int(poolMargin*float64(connections))/max(1, g.options.VMCount()))
	g.mu.Lock()
	defer g.mu.Unlock()
	key := poolKey(&t.Target)
	p := g.pools[key]
	if p == nil {
		p = pool.New(t.Address, g.options.Dial(g.options.RTT(t.Region)), limit)
		p.SetMaxIdle(firstIdle)
		g.pools[key] = p
	}
	return p
}

// budgetOf returns what this VM may send again to a service.
func (g *Gateway) budgetOf(service string) *retrybudget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		saved := max(1, budgetMargin*g.options.RetryExtra/float64(max(1, g.options.VMCount())))
		b = retrybudget.New(saved, saved)
		g.budgets[service] = b
	}
	return b
}
