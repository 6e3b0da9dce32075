package placing

import "time"

// serveAll gives free targets to waiting requests and refuses those that are late.
func (b *Balancer) serveAll(now time.Time) {
	for _, s := range b.services {
		s.serve(now, b)
	}
}

// Tick serves the queues, which counts of other VMs and the time may have freed.
func (b *Balancer) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	b.serveAll(now)
}

// serve is called with the lock held. Requests that would be served too late learn
// it now, not when their time is over: their callers can still go elsewhere.
func (s *service) serve(now time.Time, b *Balancer) {
	if len(s.queue.waiting) == 0 {
		return
	}
	s.resetLoads()
	s.queue.demoteLate(now)
	kept := s.queue.waiting[:0]
	ahead := make(map[string]time.Duration)
	for _, w := range s.queue.waiting {
		d, ok := b.decide(now, s, w, ahead[w.region])
		if !ok {
			ahead[w.region] += w.request.serviceTime()
			kept = append(kept, w)
			continue
		}
		w.decided <- d
	}
	clear(s.queue.waiting[len(kept):])
	s.queue.waiting = kept
}

// decide serves or refuses a waiting request with the work before it.
func (b *Balancer) decide(now time.Time, s *service, w *Waiter, ahead time.Duration) (Decision, bool) {
	if s.slots(now, w.region) == 0 {
		if region := b.nearest(now, s, w.request); region != "" {
			w.region = region
		}
	}
	if d, ok := b.assign(now, s, w.request, w.region); ok {
		return d, true
	}
	wait := time.Duration(float64(ahead) / s.slotShare(now, w.region))
	need := wait + w.request.serviceTime() + b.options.RTT(w.region)
	if now.Add(need).After(w.latestEnd) {
		return s.refusal(now, w.region, wait, need), true
	}
	return Decision{}, false
}
