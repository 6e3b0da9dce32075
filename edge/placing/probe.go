package placing

import "time"

// probeInterval is how long after one probe the next one of the same target may begin:
// longer than a probe takes.
const probeInterval = time.Second

// DueProbes returns the ejected targets that a probe may readmit now. Each is returned
// once until the outcome of its probe is taken in, or probeEvery has passed.
func (b *Balancer) DueProbes(now time.Time) []*Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []*Target
	for _, s := range b.services {
		for _, t := range s.targets {
			if t.usable && t.needsProbe && !now.Before(t.ejectedUntil) {
				t.ejectedUntil = now.Add(probeInterval)
				due = append(due, t)
			}
		}
	}
	return due
}

// RecordProbe takes in the outcome of a probe; coldFor is what the target said.
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
