package placing

import (
	"slices"
	"time"
)

// SetVMs tells among which VMs of the own region work is divided, this one included, in
// a fixed order. It is called often; the parts are found anew only when the names change.
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

// updateColdRates gives this VM its part of what cold targets bear. Only the VMs that a
// hash names for a target send to it while it is cold: with all VMs sending their
// first request at once, a target would get one from each within a moment.
func (b *Balancer) updateColdRates(s *service) {
	for _, t := range s.targets {
		t.cold.rate = b.coldRate(s, t)
	}
}

func (b *Balancer) coldRate(s *service, t *Target) float64 {
	if s.ColdRate <= 0 {
		return 1e6
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

// coldLimiter limits what this VM sends to a cold target.
type coldLimiter struct {
	// rate is requests a second; 0 permits none.
	rate float64
	next time.Time
}

func (b *coldLimiter) allows(now time.Time) bool { return b.rate > 0 && !now.Before(b.next) }

func (b *coldLimiter) take(now time.Time) {
	b.next = now.Add(time.Duration(float64(time.Second) / b.rate))
}
