package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/edge/fairshare"
	"github.com/yuccaroute/yuccaroute/edge/reach"
	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/store"
)

// latencyBuckets are the buckets of the request latency histogram.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// gatewayMetrics implements gateway.Metrics. It caches counters and histograms by their
// tags, because creating a tally scope is much slower than incrementing a counter.
type gatewayMetrics struct {
	scope tally.Scope
	// refusals are those of the last minute, for GET /load.
	refusals *refusals.Log

	mu          sync.Mutex
	requests    map[requestTags]requestMetrics
	accounts    map[string]accountMetrics
	attempts    map[attemptTags]tally.Counter
	delegations map[delegationTags]tally.Counter
	// targetCrashes, loadStatements, malformedLoads and expectedErrors are keyed by service.
	targetCrashes, loadStatements, malformedLoads map[string]tally.Counter
	expectedErrors                                map[string]tally.Histogram
	reach                                         map[reach.Group]tally.Gauge
	// returnTotals are those that the counters have.
	returnTotals returnTotals
	// accountWork holds the gauges of the work of accounts, and overtaken what the counter has.
	accountWork map[accountWorkTags]tally.Gauge
	overtaken   int64
}

type accountWorkTags struct{ service, account string }

type requestTags struct {
	route, service string
	code           int
}

type requestMetrics struct {
	ended   tally.Counter
	latency tally.Histogram
}

// maxAccountMetrics bounds the client accounts that have metrics of their own. The others share
// those of otherAccounts.
const (
	maxAccountMetrics = 256
	otherAccounts     = "(others)"
)

// accountMetrics are the metrics of one client account: its requests by result code, and their
// latency.
type accountMetrics struct {
	scope   tally.Scope
	ended   map[int]tally.Counter
	latency tally.Histogram
}

type attemptTags struct{ service, outcome string }

type delegationTags struct{ reason, outcome string }

func newGatewayMetrics(scope tally.Scope) *gatewayMetrics {
	return &gatewayMetrics{scope: scope, refusals: refusals.New(time.Now()), requests: make(map[requestTags]requestMetrics), accounts: make(map[string]accountMetrics), attempts: make(map[attemptTags]tally.Counter),
		delegations: make(map[delegationTags]tally.Counter), targetCrashes: make(map[string]tally.Counter), loadStatements: make(map[string]tally.Counter),
		malformedLoads: make(map[string]tally.Counter), expectedErrors: make(map[string]tally.Histogram), reach: make(map[reach.Group]tally.Gauge),
		accountWork: make(map[accountWorkTags]tally.Gauge)}
}

// RequestEnded implements gateway.Metrics.
func (c *gatewayMetrics) RequestEnded(route, service, account string, code int, took time.Duration) {
	m := c.request(requestTags{route, service, code})
	m.ended.Inc(1)
	m.latency.RecordDuration(took)
	if account != "" {
		ended, latency := c.account(account, code)
		ended.Inc(1)
		latency.RecordDuration(took)
	}
}

func (c *gatewayMetrics) account(name string, code int) (tally.Counter, tally.Histogram) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.accounts[name]
	if !ok && len(c.accounts) >= maxAccountMetrics {
		name = otherAccounts
		m, ok = c.accounts[name]
	}
	if !ok {
		scope := c.scope.Tagged(map[string]string{"account": name})
		m = accountMetrics{scope: scope, ended: make(map[int]tally.Counter), latency: scope.Histogram("account_latency", latencyBuckets)}
		c.accounts[name] = m
	}
	ended, ok := m.ended[code]
	if !ok {
		ended = m.scope.Tagged(map[string]string{"result": strconv.Itoa(code)}).Counter("account_requests")
		m.ended[code] = ended
	}
	return ended, m.latency
}

func (c *gatewayMetrics) request(tags requestTags) requestMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.requests[tags]
	if !ok {
		scope := c.scope.Tagged(map[string]string{
			"route": tags.route, "service": tags.service, "result": strconv.Itoa(tags.code),
		})
		m = requestMetrics{ended: scope.Counter("requests"), latency: scope.Histogram("latency", latencyBuckets)}
		c.requests[tags] = m
	}
	return m
}

// RequestRefused implements gateway.Metrics.
func (c *gatewayMetrics) RequestRefused(r refusals.Refusal) {
	c.refusals.Count(time.Now(), r)
}

// AttemptEnded implements gateway.Metrics.
func (c *gatewayMetrics) AttemptEnded(service, outcome string) {
	c.mu.Lock()
	tags := attemptTags{service, outcome}
	counter, ok := c.attempts[tags]
	if !ok {
		counter = c.scope.Tagged(map[string]string{"service": service, "end": outcome}).Counter("sendings")
		c.attempts[tags] = counter
	}
	c.mu.Unlock()
	counter.Inc(1)
}

// RequestDelegated implements gateway.Metrics.
func (c *gatewayMetrics) RequestDelegated(reason, outcome string) {
	c.mu.Lock()
	tags := delegationTags{reason, outcome}
	counter, ok := c.delegations[tags]
	if !ok {
		counter = c.scope.Tagged(map[string]string{"reason": reason, "end": outcome}).Counter("delegations")
		c.delegations[tags] = counter
	}
	c.mu.Unlock()
	counter.Inc(1)
}

// TargetCrashed implements gateway.Metrics.
func (c *gatewayMetrics) TargetCrashed(service string) {
	c.taggedCounter(c.targetCrashes, "target_ends", "service", service).Inc(1)
}

// setQuarantine updates the gauges of suspected and quarantined requests.
func (c *gatewayMetrics) setQuarantine(suspected, quarantined int) {
	c.scope.Gauge("requests_suspected").Update(float64(suspected))
	c.scope.Gauge("requests_quarantined").Update(float64(quarantined))
}

// setTargetLimits updates the gauge of targets that limit the requests of all VMs.
func (c *gatewayMetrics) setTargetLimits(targets int) {
	c.scope.Gauge("targets_limited").Update(float64(targets))
}

// setStatements updates the gauges of targets that have stated that they leave, and of those at rest.
func (c *gatewayMetrics) setStatements(leaving, resting int) {
	c.scope.Gauge("targets_leaving").Update(float64(leaving))
	c.scope.Gauge("targets_resting").Update(float64(resting))
}

// returnTotals are the promises to refused callers since the start of this VM.
type returnTotals struct{ promised, kept, lapsed int64 }

// countReturns updates the counters of promises to their totals. Only one goroutine may call it.
func (c *gatewayMetrics) countReturns(promised, kept, lapsed int64) {
	old := c.returnTotals
	c.scope.Counter("returns_promised").Inc(promised - old.promised)
	c.scope.Counter("returns_kept").Inc(kept - old.kept)
	c.scope.Counter("returns_lapsed").Inc(lapsed - old.lapsed)
	c.returnTotals = returnTotals{promised, kept, lapsed}
}

// setAccountWork updates the gauges of the work of accounts, 0 for those that are not listed, and the counter of
// overtaken requests to its total. Only one goroutine may call it.
func (c *gatewayMetrics) setAccountWork(list []fairshare.Named, overtaken int64) {
	work := make(map[accountWorkTags]float64, len(list))
	for _, a := range list {
		tags := accountWorkTags{a.Service, a.Account}
		if _, ok := c.accountWork[tags]; !ok && len(c.accountWork) >= maxAccountMetrics {
			tags.account = otherAccounts
		}
		work[tags] += a.Work.Seconds()
		if c.accountWork[tags] == nil {
			c.accountWork[tags] = c.scope.Tagged(map[string]string{"service": tags.service, "account": tags.account}).Gauge("account_work")
		}
	}
	for tags, gauge := range c.accountWork {
		gauge.Update(work[tags])
	}
	c.scope.Counter("fair_share_overtaken").Inc(overtaken - c.overtaken)
	c.overtaken = overtaken
}

// setReplica updates the gauges of the store's state that this VM holds: the era and revision number.
func (c *gatewayMetrics) setReplica(at store.Revision) {
	c.scope.Gauge("replica_era").Update(float64(at.Era()))
	c.scope.Gauge("replica_revision").Update(float64(at.Number()))
}

// setReach updates the gauges that tell for how many seconds this VM has not reached a service's targets
// in a region; 0 means that it reaches them. Only one goroutine may call it.
func (c *gatewayMetrics) setReach(statuses []reach.Status) {
	for _, s := range statuses {
		gauge, ok := c.reach[s.Group]
		if !ok {
			gauge = c.scope.Tagged(map[string]string{"service": s.Group.Service, "region": s.Group.Region}).Gauge("unreached_seconds")
			c.reach[s.Group] = gauge
		}
		seconds := 0.0
		if s.Phase == reach.Unreached {
			seconds = s.For.Seconds()
		}
		gauge.Update(seconds)
	}
}

// taggedCounter returns the cached counter for a tag value, creating it if needed.
func (c *gatewayMetrics) taggedCounter(counters map[string]tally.Counter, name, tag, value string) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter, ok := counters[value]
	if !ok {
		counter = c.scope.Tagged(map[string]string{tag: value}).Counter(name)
		counters[value] = counter
	}
	return counter
}
