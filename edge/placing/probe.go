package placing

import "time"

// probeEvery is how long after one probe the next one of the same target may begin:
// longer than a probe takes.
const probeEvery = time.Second

// DueProbes returns the ejected targets that a probe may readmit now. Each is returned
// once until the outcome of its probe is taken in, or probeEvery has passed.
func (b *Balancer) DueProbes(now time.Time) []*Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []*Target
	for _, s := range b.services {
		for _, t := range s.targets {
			if t.usable && t.probing && !now.Before(t.ejectedUntil) {
				t.ejectedUntil = now.Add(probeEvery)
				due = append(due, t)
			}
		}
	}
	return due
}

// RecordProbe takes in the outcome of a probe; coldFor is what the target said.
func (b *Balancer) RecordProbe(now time.Time, t *Target, well bool, coldFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !well {
		t.ejection = min(max(firstEjection, 2*t.ejection), lastEjection)
		t.ejectedUntil = now.Add(t.ejection)
		return
	}
	t.probing = false
	t.ejectedUntil = now
	t.failures = 0
	if coldFor > 0 {
		t.coldTill = now.Add(coldFor + coldMargin)
	}
	b.serveAll(now)
}
