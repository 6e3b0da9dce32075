package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histogram.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 600_000_000
	latencyDigits    = 2
)

// placeCounts holds a node's measurements of one place between two reports.
type placeCounts struct {
	// attempts includes failed connects, so that a place whose targets refuse
	// connections is reported as failing.
	attempts, refused, failed atomic.Uint64

	mu sync.Mutex
	// latencies is nil if nothing was answered between two reports, to save
	// memory: a node has one for each service and place of every account.
	latencies *hdrhistogram.Histogram
}

func (c *placeCounts) recordLatency(took time.Duration) {
	micros := min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latencies == nil {
		c.latencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	}
	// The value is within the range, so recording it cannot fail.
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
