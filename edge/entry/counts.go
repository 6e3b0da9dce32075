package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets bound the histograms of requests.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// counts implements gateway.Metrics. Scopes are kept by their tags: to make one
// takes longer than to count.
type counts struct {
	scope tally.Scope

	mu       sync.Mutex
	requests map[requestTags]requestMetrics
	sendings map[sendingTags]tally.Counter
	// delegations are by how they ended, ends of targets by their service.
	delegations map[string]tally.Counter
	ends        map[string]tally.Counter
}

type requestTags struct {
	route, service string
	code           int
}

type requestMetrics struct {
	ended   tally.Counter
	latency tally.Histogram
}

type sendingTags struct{ service, end string }

func newCounts(scope tally.Scope) *counts {
	return &counts{scope: scope, requests: make(map[requestTags]requestMetrics), sendings: make(map[sendingTags]tally.Counter),
		delegations: make(map[string]tally.Counter), ends: make(map[string]tally.Counter)}
}

// RequestEnded implements gateway.Metrics.
func (c *counts) RequestEnded(route, service string, code int, took time.Duration) {
	m := c.request(requestTags{route, service, code})
	m.ended.Inc(1)
	m.latency.RecordDuration(took)
}

func (c *counts) request(tags requestTags) requestMetrics {
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

// AttemptEnded implements gateway.Metrics.
func (c *counts) AttemptEnded(service, end string) {
	c.mu.Lock()
	tags := sendingTags{service, end}
	counter, ok := c.sendings[tags]
	if !ok {
		counter = c.scope.Tagged(map[string]string{"service": service, "end": end}).Counter("sendings")
		c.sendings[tags] = counter
	}
	c.mu.Unlock()
	counter.Inc(1)
}

// RequestDelegated implements gateway.Metrics.
func (c *counts) RequestDelegated(end string) {
	c.tagged(c.delegations, "delegations", "end", end).Inc(1)
}

// TargetCrashed implements gateway.Metrics.
func (c *counts) TargetCrashed(service string) {
	c.tagged(c.ends, "target_ends", "service", service).Inc(1)
}

// setQuarantine shows how many requests have ended targets, and how many are kept from them.
func (c *counts) setQuarantine(suspected, quarantined int) {
	c.scope.Gauge("requests_suspected").Update(float64(suspected))
	c.scope.Gauge("requests_quarantined").Update(float64(quarantined))
}

// tagged returns the counter with one value of a tag, of those that are kept.
func (c *counts) tagged(kept map[string]tally.Counter, name, tag, value string) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter, ok := kept[value]
	if !ok {
		counter = c.scope.Tagged(map[string]string{tag: value}).Counter(name)
		kept[value] = counter
	}
	return counter
}
