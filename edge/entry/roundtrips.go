package entry

import (
	"net"
	"sync"
	"time"
)

const (
	// localRTT is assumed within the own region.
	localRTT = time.Millisecond
	// defaultRTT is assumed for a region without a measurement.
	defaultRTT  = 60 * time.Millisecond
	dialTimeout = time.Second
	// maxMeasurements is the number of samples per region; the minimum is used.
	maxMeasurements = 2
)

// roundTrips holds the network round-trip time to each region, measured by TCP
// connects to VMs there. It is safe for concurrent use.
type roundTrips struct {
	ownRegion string

	mu           sync.Mutex
	shortest     map[string]time.Duration
	measurements map[string]int
}

func newRoundTrips(ownRegion string) *roundTrips {
	return &roundTrips{ownRegion: ownRegion, shortest: make(map[string]time.Duration), measurements: make(map[string]int)}
}

func (d *roundTrips) get(region string) time.Duration {
	if region == d.ownRegion {
		return localRTT
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.shortest[region]; ok {
		return s
	}
	return defaultRTT
}

// measure starts a measurement of the region unless it has enough samples.
func (d *roundTrips) measure(region, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if region == d.ownRegion || d.measurements[region] >= maxMeasurements {
		return
	}
	d.measurements[region]++
	go d.dial(region, address)
}

func (d *roundTrips) dial(region, address string) {
	began := time.Now()
	c, err := net.DialTimeout("tcp4", address, dialTimeout)
	took := time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.measurements[region]--
		return
	}
	_ = c.Close()
	if s, ok := d.shortest[region]; !ok || took < s {
		d.shortest[region] = took
	}
}
