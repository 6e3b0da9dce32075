package peers

import (
	"sync"
	"time"
)

// DigestMonitor detects that a VM which depends on the digests of an aggregator does not
// receive them. It is safe for concurrent use.
type DigestMonitor struct {
	mu sync.Mutex
	// expected is false while this VM receives the reports of the other VMs directly.
	expected bool
	// lastAt is when the last digest arrived, or when digests began to be expected.
	lastAt time.Time
}

// NewDigestMonitor returns a monitor whose timeout starts now.
func NewDigestMonitor(now time.Time) *DigestMonitor { return &DigestMonitor{lastAt: now} }

// SetExpected sets whether this VM depends on digests.
func (d *DigestMonitor) SetExpected(now time.Time, expected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if expected && !d.expected {
		d.lastAt = now
	}
	d.expected = expected
}

// Received records that a digest arrived.
func (d *DigestMonitor) Received(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastAt = now
}

// Missing reports whether digests are expected but none arrived within digestTimeout. The
// relay of this failure domain may be reachable from the aggregator but not from this VM.
func (d *DigestMonitor) Missing(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expected && now.Sub(d.lastAt) > digestTimeout
}
