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
	b.releaseHeld(now)
	b.tickWorkingSets(now)
	b.expirePromises(now)
	b.work.Expire(now)
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
	s.queue.order(now)
	kept := s.queue.waiting[:0]
	ahead := make(map[string]backlog)
	for _, w := range s.queue.waiting {
		d, ok := b.decide(now, s, w, ahead[w.region])
		if !ok {
			before := ahead[w.region]
			before.add(w.request)
			ahead[w.region] = before
			kept = append(kept, w)
			continue
		}
		if d.HasAccountWork && w.isOvertaken(kept) {
			b.overtaken++
		}
		w.isDecided = true
		w.decided <- d
	}
	clear(s.queue.waiting[len(kept):])
	s.queue.waiting = kept
}

// decide assigns or rejects a queued request; ahead are the requests before it in the same region.
// It returns false if the request stays in the queue.
func (b *Balancer) decide(now time.Time, s *service, w *Waiter, ahead backlog) (Decision, bool) {
	if s.untriedSlots(now, w.region, w.request) == 0 {
		region := b.nearest(now, s, w.request)
		hasSlots := region != "" || s.slots(now, w.region) > 0
		if !hasSlots && s.isCutOff(w.request) {
			return Decision{Reason: Unreached, RetryAfter: maxRetryAfter}, true
		}
		if !hasSlots && !s.hasUsableTarget(w.request) {
			return s.rejectWithoutTarget(w.request), true
		}
		if region != "" {
			w.region, w.key.Region = region, region
		} else if d, tried := b.rejectTried(now, s, w.request, w.region, ahead); tried {
			return d, true
		}
	}
	if refusal, refused := b.leftWorkingSet(now, s, w); refused {
		return refusal, true
	}
	if d, ok := b.assign(now, s, w.request, w.region); ok {
		return d, true
	}
	wait := b.estimateWait(now, s, w.request, w.region, ahead, 1)
	if wait.limited {
		if d, ok := b.elsewhere(now, s, w.request, w.region); ok {
			return d, true
		}
	}
	return b.rejectAfter(now, s, w.request, wait, w.latestEndAfter(now, wait))
}
