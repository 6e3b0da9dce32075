package entry

import (
	"net"
	"sync"
	"time"
)

const (
	// nearDelay is within a region, there and back.
	nearDelay = time.Millisecond
	// guessedDelay is to a region that was not measured yet.
	guessedDelay = 60 * time.Millisecond
	// measureTime bounds one measurement.
	measureTime = time.Second
	// measures is how often a region is measured; the shortest time counts.
	measures = 2
)

// delays holds the network's delay to each region and back, as connections to
// other VMs showed it.
type delays struct {
	own string

	mu       sync.Mutex
	shortest map[string]time.Duration
	measured map[string]int
}

func newDelays(own string) *delays {
	return &delays{own: own, shortest: make(map[string]time.Duration), measured: make(map[string]int)}
}

func (d *delays) get(region string) time.Duration {
	if region == d.own {
		return nearDelay
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.shortest[region]; ok {
		return s
	}
	return guessedDelay
}

// measure times a connection to a VM of the region, unless that was done before.
func (d *delays) measure(region, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if region == d.own || d.measured[region] >= measures {
		return
	}
	d.measured[region]++
	go d.connect(region, address)
}

func (d *delays) connect(region, address string) {
	began := time.Now()
	c, err := net.DialTimeout("tcp4", address, measureTime)
	took := time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.measured[region]--
		return
	}
	_ = c.Close()
	if s, ok := d.shortest[region]; !ok || took < s {
		d.shortest[region] = took
	}
}
