package placing

import "time"

// serveAll serves the queues of all services.
func (b *Balancer) serveAll(now time.Time) {
	for _, s := range b.services {
		s.serve(now, b)
	}
}

// Tick drops expired peer reports and serves the queues.
func (b *Balancer) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	b.serveAll(now)
}

// serve assigns queued requests to targets that accept them. It rejects those that would
// end too late without waiting for their deadline, so that callers can retry elsewhere.
// The caller must hold the lock.
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

// decide assigns or rejects a queued request; ahead is the service time of the requests
// before it in the same region. It returns false if the request stays in the queue.
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
		return s.rejection(now, w.region, wait, need), true
	}
	return Decision{}, false
}
