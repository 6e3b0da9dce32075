package entry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// expectedErrorBuckets are in seconds; negative ones are of requests that took less than expected.
var expectedErrorBuckets = tally.ValueBuckets{-1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// LoadStated implements gateway.Metrics.
func (c *gatewayMetrics) LoadStated(service string, malformed bool) {
	if malformed {
		c.taggedCounter(c.malformedLoads, "load_malformed", "service", service).Inc(1)
		return
	}
	c.taggedCounter(c.loadStatements, "load_statements", "service", service).Inc(1)
}

// ExpectedError implements gateway.Metrics.
func (c *gatewayMetrics) ExpectedError(service string, by time.Duration) {
	c.mu.Lock()
	h, ok := c.expectedErrors[service]
	if !ok {
		h = c.scope.Tagged(map[string]string{"service": service}).Histogram("expected_error_seconds", expectedErrorBuckets)
		c.expectedErrors[service] = h
	}
	c.mu.Unlock()
	h.RecordValue(by.Seconds())
}
