// Package gateway forwards requests from callers to targets. It guarantees that a
// caller gets either the complete answer to its own request or an error, that "not
// run" is reported only when it is certain, and that a request that must not run
// twice is not retried once it may have run.
package gateway

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/retrybudget"
	"github.com/yuccaroute/yuccaroute/edge/accounts"
	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/reach"
	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/edge/route"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

const (
	// budgetFraction is the part of the deployment's retry budget that the VMs use in
	// total. The rest covers the time during which they disagree on how many they are.
	budgetFraction = 0.85
	// defaultIdleTimeout applies to targets that have not sent a Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// connectionFraction is the part of a target's MaxConnections that all VMs together use.
	connectionFraction = 0.6
	// minConnections is the lowest connection limit of a VM for one target.
	minConnections = 8
)

// Metrics counts requests, attempts and target crashes.
type Metrics interface {
	// RequestEnded counts a request by its result code; account is "" if it has none.
	RequestEnded(route, service, account string, code int, took time.Duration)
	// RequestRefused counts a request that this VM has refused itself.
	RequestRefused(r refusals.Refusal)
	// AttemptEnded counts one attempt at a target.
	AttemptEnded(service, end string)
	// RequestDelegated counts one request that was delegated to another VM, by the reason for it.
	RequestDelegated(reason, end string)
	// TargetCrashed counts a target that stopped unplanned while it had requests.
	TargetCrashed(service string)
	// LoadStated counts one statement of a target's load.
	LoadStated(service string, malformed bool)
	// ExpectedError records by how much a request that ran warm at a target with a free slot took longer
	// than expected; it is negative if it took less.
	ExpectedError(service string, by time.Duration)
}

// Options configure a Gateway.
type Options struct {
	Fields site.FieldNames
	// Name and Region are those of this VM.
	Name     string
	Region   string
	Balancer *placing.Balancer
	Logger   *logrus.Entry
	Metrics  Metrics
	// RetryRatio and RetryExtra bound the retries of all VMs together in a window.
	RetryRatio, RetryExtra float64
	// VMCount returns how many VMs share the retry budget.
	VMCount func() int
	// RTT returns the round-trip time to a region.
	RTT func(region string) time.Duration
	// InFlightChanged is called when the requests in flight change. It must not block.
	InFlightChanged func()
	// Owners selects the VMs that place requests for this one; nil if this VM places all.
	Owners *owners.Table
	// Quota limits the requests of client accounts; nil means no limit.
	Quota Quota
	// ConfigCurrent reports whether this VM knows that it has the newest configuration;
	// AccountsExpired whether it must not rely on its list of keys any more. nil means true and
	// false.
	ConfigCurrent, AccountsExpired func() bool
	// TargetLimits records the limits that targets state, as ReadStatement reads them; a nil
	// ReadStatement ignores all that targets state.
	TargetLimits  TargetLimits
	ReadStatement ReadStatement
	// ReachChanged is called when this VM reaches other targets than before. It must not block.
	ReachChanged func()
	// TargetLeaves is called with the incarnation of a target when its answer first states that it
	// leaves. It must not block.
	TargetLeaves func(incarnation uint64)
	// Quarantine holds the requests that crash targets; nil disables the check.
	Quarantine *quarantine.Quarantine
	// MaxAnswerBytes bounds one answer.
	MaxAnswerBytes int64
	// AnswerMemory bounds the bodies of all answers that are being read; nil means no bound.
	AnswerMemory forward.Memory
	// Dial returns the function that connects to targets at a given round-trip time;
	// nil means TCP.
	Dial func(rtt time.Duration) pool.Dial
}

// Gateway is safe for concurrent use.
type Gateway struct {
	options Options
	table   atomic.Pointer[route.Table]
	// accounts belongs to the same configuration as table.
	accounts atomic.Pointer[accounts.Index]
	// maxConnections is the limit of connections to one target, by service.
	maxConnections atomic.Pointer[map[string]int]
	leaving        atomic.Bool
	// sendsEnded is closed when no further requests are sent.
	sendsEnded chan struct{}
	endSends   sync.Once
	losses     *losses
	reach      *reach.Tracker
	// reachMu orders what the balancer is told of what is reached.
	reachMu sync.Mutex
	// busyUntil is until when this VM takes requests of others only as the last resort; nil if it was never busy.
	busyUntil atomic.Pointer[time.Time]
	// malformedLogged and slotsLogged limit the log lines on malformed statements and on changed numbers
	// of slots.
	malformedLogged, slotsLogged logLimit
	// forOthers counts the requests under way that other VMs delegated as they reach no target.
	forOthers atomic.Int64
	// probes counts the probes sent.
	probes atomic.Uint64

	mu sync.Mutex
	// pools is keyed by poolKey.
	pools map[string]*pool.Pool
	// ownerPools is keyed by the owner's peer address.
	ownerPools map[string]*pool.Pool
	budgets    map[string]*retrybudget.Budget
}

// New returns a gateway without a configuration: until SetView provides one, it
// refuses every request as not run.
func New(o Options) *Gateway {
	if o.Dial == nil {
		o.Dial = dialer
	}
	if o.Quota == nil {
		o.Quota = unlimited{}
	}
	if o.ReachChanged == nil {
		o.ReachChanged = func() {}
	}
	if o.TargetLeaves == nil {
		o.TargetLeaves = func(uint64) {}
	}
	if o.ConfigCurrent == nil {
		o.ConfigCurrent = func() bool { return true }
	}
	if o.AccountsExpired == nil {
		o.AccountsExpired = func() bool { return false }
	}
	return &Gateway{
		options: o, pools: make(map[string]*pool.Pool), ownerPools: make(map[string]*pool.Pool),
		budgets: make(map[string]*retrybudget.Budget), losses: newLosses(), reach: reach.New(),
		sendsEnded: make(chan struct{}),
	}
}

// SetView applies a view: routes first, then targets.
func (g *Gateway) SetView(v *catalog.View, now time.Time) {
	if v.Config == nil {
		return
	}
	last := g.table.Load()
	if last == nil || last.Version != v.Config.Version {
		// Before the table: a request that matches a new route must find that route's accounts.
		g.accounts.Store(accounts.NewIndex(v.Config, g.accounts.Load()))
		g.table.Store(route.NewTable(v.Config, last))
	}
	connections := make(map[string]int, len(v.Config.Services))
	for name, service := range v.Config.Services {
		connections[name] = service.MaxConnections
	}
	g.maxConnections.Store(&connections)
	list := make([]placing.TargetSpec, 0, len(v.Targets))
	listed := make(map[string]bool, len(v.Targets))
	for _, t := range v.Targets {
		list = append(list, placing.TargetSpec{Target: t.Target, ColdUntil: t.ReceivedAt.Add(t.ColdRemaining)})
		listed[poolKey(&t.Target)] = true
	}
	g.options.Balancer.SetTargets(now, v.Config.Services, list, v.Evacuated)
	g.updateGroups(now)
	g.closePools(listed)
	g.losses.removeUnlisted(listed)
}

// Ready reports whether a configuration is known.
func (g *Gateway) Ready() bool { return g.table.Load() != nil }

// Version returns the version of the current configuration, 0 for none.
func (g *Gateway) Version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Leave makes the gateway refuse new requests as not run.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// EndSends makes the gateway send no further requests to targets and other VMs. Those that wait for a target are refused
// as not run: when the process ends, their connections would end without an answer.
func (g *Gateway) EndSends() { g.endSends.Do(func() { close(g.sendsEnded) }) }

func (g *Gateway) hasEndedSends() bool {
	select {
	case <-g.sendsEnded:
		return true
	default:
		return false
	}
}

// closePools closes the connections to targets that are no longer listed.
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

// poolKey identifies one incarnation of a target: connections to an earlier one are dead. It
// reads only immutable fields, since the balancer may modify the others concurrently.
func poolKey(t *site.Target) string {
	return t.ID + " " + t.Address + " " + strconv.FormatInt(t.StartedMillis, 36)
}

// poolOf returns the connection pool of a target.
func (g *Gateway) poolOf(t *placing.Target) *pool.Pool {
	connections := 0
	if known := g.maxConnections.Load(); known != nil {
		connections = (*known)[t.Service]
	}
	limit := max(minConnections, int(connectionFraction*float64(connections))/max(1, g.options.VMCount()))
	g.mu.Lock()
	defer g.mu.Unlock()
	key := poolKey(&t.Target)
	p := g.pools[key]
	if p == nil {
		p = pool.New(t.Address, g.dialTarget(t), limit)
		p.SetMaxIdle(defaultIdleTimeout)
		g.pools[key] = p
	}
	return p
}

// budgetOf returns this VM's retry budget for a service.
func (g *Gateway) budgetOf(service string) *retrybudget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		burst := max(1, budgetFraction*g.options.RetryExtra/float64(max(1, g.options.VMCount())))
		b = retrybudget.New(burst, burst)
		g.budgets[service] = b
	}
	return b
}
