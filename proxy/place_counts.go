package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latencies in reports.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 600_000_000
	latencyDigits    = 2
)

// placeCounts is what a node measures of one place between two reports.
type placeCounts struct {
	// tried counts attempts, those that found no connection included: a place
	// whose targets take none gets nothing sent and fails all the same.
	tried, refused, failed atomic.Uint64

	mu sync.Mutex
	// latencies is nil while nothing was answered between two reports: it takes
	// 24 KB, and a node holds one for each service and place of every account.
	latencies *hdrhistogram.Histogram
}

// answered counts an answer by the time it took.
func (c *placeCounts) answered(took time.Duration) {
	micros := min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latencies == nil {
		c.latencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	}
	// The value is within the range, so that it is always recorded.
	_ = c.latencies.RecordValue(micros)
}

// takeLatencies returns p50 and p99 since the last call, 0 without answers.
func (c *placeCounts) takeLatencies() (p50, p99 time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latencies == nil {
		return 0, 0
	}
	if c.latencies.TotalCount() == 0 {
		c.latencies = nil
		return 0, 0
	}
	p50 = time.Duration(c.latencies.ValueAtQuantile(50)) * time.Microsecond
	p99 = time.Duration(c.latencies.ValueAtQuantile(99)) * time.Microsecond
	c.latencies.Reset()
	return p50, p99
}
