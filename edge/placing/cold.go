package placing

import (
	"slices"
	"time"
)

// unlimitedColdRate is the rate of cold targets of a service that states none, in requests per second.
const unlimitedColdRate = 1e6

// SetVMs sets the live VMs of the local region, including this one, in a fixed order. Rates
// of cold targets are recomputed only if the names changed.
func (b *Balancer) SetVMs(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(names, b.vmNames) {
		return
	}
	b.vmNames = slices.Clone(names)
	b.vmHashes = b.vmHashes[:0]
	for _, name := range names {
		b.vmHashes = append(b.vmHashes, HashOf(name))
	}
	for _, s := range b.services {
		b.updateColdRates(s)
	}
}

func (b *Balancer) setColdRate(s *service, rate float64) {
	if rate != s.ColdRate {
		s.ColdRate = rate
		b.updateColdRates(s)
	}
}

// updateColdRates recomputes this VM's share of the rate of each target while it is cold.
func (b *Balancer) updateColdRates(s *service) {
	for _, t := range s.targets {
		t.cold.rate = b.coldRate(s, t)
	}
}

// coldRate returns this VM's share of the rate of a cold target. Only the coldSenders VMs
// that rank highest for the target send to it: if all VMs did, the target would get a first
// request from each of them at once.
func (b *Balancer) coldRate(s *service, t *Target) float64 {
	if s.ColdRate <= 0 {
		return unlimitedColdRate
	}
	if t.Region != b.options.Region {
		return 0
	}
	own, higher := Rendezvous(b.hash, t.hash), 0
	for _, vm := range b.vmHashes {
		if vm != b.hash && Rendezvous(vm, t.hash) > own {
			higher++
		}
	}
	if higher >= coldSenders {
		return 0
	}
	return s.ColdRate / float64(min(coldSenders, max(1, len(b.vmHashes))))
}

// coldLimiter limits the rate of requests from this VM to a cold target.
type coldLimiter struct {
	// rate is in requests per second; 0 permits none.
	rate float64
	next time.Time
}

func (l *coldLimiter) allows(now time.Time) bool { return l.rate > 0 && !now.Before(l.next) }

func (l *coldLimiter) take(now time.Time) {
	l.next = now.Add(time.Duration(float64(time.Second) / l.rate))
}
