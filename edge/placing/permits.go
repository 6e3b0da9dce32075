package placing

import (
	"math"
	"time"
)

const (
	// maxPermitWait bounds the estimated wait for a target whose rate is limited.
	maxPermitWait = 30 * time.Second
	// permitMargin is how much longer than estimated the wait of a request may be that enters the
	// queue: permits come in bursts.
	permitMargin = 2
	// restSpread is how much later than the first the rest of a target may end whose slots count for
	// callers that are told to come back then.
	restSpread = 500 * time.Millisecond
	// maxReturnDelay is how long after the time that it was told a caller may come back.
	maxReturnDelay = 100 * time.Millisecond
	// maxReturns bounds the callers of a region that have been told to come back.
	maxReturns = 1024
)

// permits estimates when this VM may send requests to the targets of a region if none may get one
// freely, because they have stated limits, rest or are cold.
type permits struct {
	// first is the time until the first request, perSecond the rate of further ones.
	first     time.Duration
	perSecond float64
	// stated is set if a target has stated a limit or rests. Otherwise other VMs may have permits: each
	// cold target is left to a few.
	stated bool
	// resting is set if a target rests.
	resting bool
}

// queueWait is the estimated wait of a request in the queue.
type queueWait struct {
	region string
	// before is what is served before the request.
	before backlog
	wait   time.Duration
	// promised is how much longer the wait is if promised callers come back.
	promised time.Duration
	// limited is set if the wait is for a permit too.
	limited bool
	permits permits
}

// estimateWait estimates the wait for a slot of a region, and for a permit if all its targets need
// one. margin is how much longer than expected the latter may be.
func (b *Balancer) estimateWait(now time.Time, s *service, r *Request, region string, before backlog, margin float64) queueWait {
	w := queueWait{region: region, before: before}
	w.wait = time.Duration(float64(before.work) / s.slotShare(now, region))
	if p, limited := b.permitsOf(now, s, region, r); limited {
		w.limited, w.permits = true, p
		w.wait = max(w.wait, time.Duration(margin*float64(p.wait(before.requests))))
	}
	return w
}

// wait returns the time until a request may be sent if others are sent before it.
func (p permits) wait(before int) time.Duration {
	if p.perSecond <= 0 {
		return maxPermitWait
	}
	wait := float64(p.first) + float64(before)/p.perSecond*float64(time.Second)
	return time.Duration(min(wait, float64(maxPermitWait)))
}

// permitsOf returns the permits of a region for a request, and false if it has a target without a
// limited rate or none at all.
func (b *Balancer) permitsOf(now time.Time, s *service, region string, r *Request) (p permits, limited bool) {
	p.first = maxPermitWait
	for _, t := range s.regions[region] {
		if !t.isReachable(now) || r.tried(t) {
			continue
		}
		wait, interval, ok := t.expectPermit(now)
		rest := t.stated.restLeft(now)
		switch {
		case ok && rest > 0:
			p.addRest(max(wait, rest), max(interval, b.slotInterval(s, t, r)))
		case ok && interval == 0:
			return p, false
		case ok:
			p.first = min(p.first, wait)
			p.perSecond += 1 / interval.Seconds()
		}
		limited = true
		p.stated = p.stated || t.limit != nil || p.resting
	}
	return p, limited
}

// addRest counts a target that rests, unless others permit requests much earlier.
func (p *permits) addRest(wait, interval time.Duration) {
	p.resting = true
	if p.perSecond > 0 && wait > p.first+restSpread {
		return
	}
	if wait < p.first-restSpread {
		p.perSecond = 0
	}
	p.first = min(p.first, wait)
	p.perSecond += 1 / interval.Seconds()
}

// expectPermit returns the time until the rates of a target permit a request of this VM, and the time
// between further ones, 0 if no rate limits it; ok is false if they permit none.
func (t *Target) expectPermit(now time.Time) (wait, interval time.Duration, ok bool) {
	if now.Before(t.coldUntil) && t.cold.rate < unlimitedColdRate {
		wait, interval = t.cold.expect(now, t.coldUntil)
	}
	if t.limit == nil {
		return wait, interval, true
	}
	limitWait, limitInterval, ok := t.limit.Expect()
	return max(wait, limitWait), max(interval, limitInterval), ok
}

// expect returns the time until the next request, and the time between further ones. A VM that may
// send none waits until the target is no longer cold.
func (l *coldLimiter) expect(now, coldUntil time.Time) (wait, interval time.Duration) {
	if l.rate <= 0 {
		left := coldUntil.Sub(now)
		return left, left
	}
	return max(0, l.next.Sub(now)), time.Duration(float64(time.Second) / l.rate)
}

// permitReturns holds the times at which rejected callers have been told to come back to a region whose
// rates are limited, one for each permit, in ascending order.
type permitReturns struct{ due []time.Time }

// claim takes the place of a caller that is due now. pending is true if callers are due later.
func (n *permitReturns) claim(now time.Time) (claimed, pending bool) {
	for len(n.due) > 0 && now.Sub(n.due[0]) > maxReturnDelay {
		n.due = n.due[1:]
	}
	if len(n.due) > 0 && !n.due[0].After(now) {
		n.due = n.due[1:]
		return true, len(n.due) > 0
	}
	return false, len(n.due) > 0
}

// next returns the time after which one more caller should come back. A caller that will not, as its
// deadline is before that, gets the time but takes no place.
func (n *permitReturns) next(now time.Time, p permits, before int, deadline time.Time) time.Duration {
	wait := p.wait(before)
	if len(n.due) > 0 && p.perSecond > 0 {
		last := n.due[len(n.due)-1]
		wait = max(wait, last.Sub(now)+time.Duration(float64(time.Second)/p.perSecond))
	}
	wait = min(max(wait, minRetryAfter), maxPermitWait)
	if at := now.Add(wait); p.perSecond > 0 && at.Before(deadline) && len(n.due) < maxReturns {
		n.due = append(n.due, at)
	}
	return wait
}

// elsewhere assigns a request to a target with a free slot in another region, the nearest first. A
// request must not wait for a permit while there is one.
func (b *Balancer) elsewhere(now time.Time, s *service, r *Request, region string) (Decision, bool) {
	best, nearest := "", time.Duration(math.MaxInt64)
	for other := range s.regions {
		if other == region || !r.allows(other) || !s.hasFreeTarget(now, other, r) {
			continue
		}
		if rtt := b.options.RTT(other); rtt < nearest || rtt == nearest && other < best {
			best, nearest = other, rtt
		}
	}
	if best == "" {
		return Decision{}, false
	}
	return b.assign(now, s, r, best)
}

// hasFreeTarget reports whether a target of a region accepts a request without a wait.
func (s *service) hasFreeTarget(now time.Time, region string, r *Request) bool {
	for _, t := range s.regions[region] {
		if !r.tried(t) && !t.full() && t.canAccept(now) {
			return true
		}
	}
	return false
}
