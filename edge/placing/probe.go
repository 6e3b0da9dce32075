package placing

import "time"

// probeInterval is the minimum time between probes of a target; it exceeds the duration of
// a probe, so that probes do not overlap.
const probeInterval = time.Second

// DueProbes returns the ejected targets that are due for a health probe. Each is returned
// only once until its probe is recorded or probeInterval has passed.
func (b *Balancer) DueProbes(now time.Time) []*Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []*Target
	for _, s := range b.services {
		for _, t := range s.targets {
			if t.usable && !t.unreached && t.needsProbe && !now.Before(t.ejectedUntil) && !t.stated.isResting(now) && t.takePermit() {
				t.ejectedUntil = now.Add(probeInterval)
				due = append(due, t)
			}
		}
	}
	return due
}

// takePermit takes one request from the limit that the target has stated, if any.
func (t *Target) takePermit() bool {
	if t.limit == nil {
		return true
	}
	if !t.limit.Ready() {
		t.limit.Want()
		return false
	}
	return t.limit.Use()
}

// RecordProbe records the result of a probe and readmits the target if it is healthy.
// coldFor is the remaining cold period that the target reported.
func (b *Balancer) RecordProbe(now time.Time, t *Target, healthy bool, coldFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !healthy {
		t.ejection = min(max(minEjection, 2*t.ejection), maxEjection)
		t.ejectedUntil = now.Add(t.ejection)
		return
	}
	t.needsProbe = false
	t.ejectedUntil = now
	t.failures = 0
	if coldFor > 0 {
		t.coldUntil = now.Add(coldFor + coldMargin)
	}
	b.serveAll(now)
}
