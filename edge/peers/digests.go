package peers

import (
	"sync"
	"time"
)

// DigestMonitor tells whether a VM that gets the others' reports by digests gets them. It is safe for
// use by several goroutines.
type DigestMonitor struct {
	mu sync.Mutex
	// expected is false while this VM gets the others' reports itself.
	expected bool
	// at is when the last one came, or when the wait for one began.
	at time.Time
}

// NewDigestMonitor begins to wait now.
func NewDigestMonitor(now time.Time) *DigestMonitor { return &DigestMonitor{at: now} }

// SetExpected tells whether this VM should get digests.
func (d *DigestMonitor) SetExpected(now time.Time, expected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if expected && !d.expected {
		d.at = now
	}
	d.expected = expected
}

// Received notes a digest.
func (d *DigestMonitor) Received(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = now
}

// Missing reports whether digests should come and none did: the relay of the own failure
// domain is there for the listener, but not for this VM.
func (d *DigestMonitor) Missing(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expected && now.Sub(d.at) > missingAfter
}
