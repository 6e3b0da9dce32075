package placing

import (
	"math"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/returns"
)

const (
	// honouredShare is the fraction of the time that it has left after which a refused caller comes
	// back at the latest, whatever it is told.
	honouredShare = 1.0 / 3
	// maxPromiseTime is how far ahead places are reserved. Without it, callers that state hours fill the
	// ledger of the VM for hours.
	maxPromiseTime = maxPermitWait
	// promisedQueue is how many of the requests that a target may have beyond its slots are left to
	// callers that come back as promised.
	promisedQueue = 1
	// returnedQueue is how many requests beyond its usual queue a target may have if one comes back as
	// promised. Targets serve in order of arrival; a request that waits at a VM loses free slots to requests of
	// other VMs. With more places than 2 more requests end after their deadlines.
	returnedQueue = 2
	// promisedShareTime is the time constant of the average of this VM's part of the slots. That varies
	// with each request, and the highest of many values would decide how many promises fit.
	promisedShareTime = time.Second
	// minPromisedSlots keeps the time between two promises finite, in slots.
	minPromisedSlots = 0.01
	// maxPromiseRounds bounds the rounds in which the wait of a request is extended by the promises
	// that become due during the wait.
	maxPromiseRounds = 4
)

// promises holds the promises for a region.
type promises struct {
	*returns.Ledger
	// slots is the average of this VM's part of the region's slots, last updated at a time.
	slots     float64
	updatedAt time.Time
}

// update updates the average of this VM's part of the slots.
func (p *promises) update(now time.Time, slots float64) {
	elapsed := now.Sub(p.updatedAt)
	p.slots += (1 - math.Exp(-elapsed.Seconds()/promisedShareTime.Seconds())) * (slots - p.slots)
	p.updatedAt = now
}

// ReturnTotals returns how many promises this VM has made to refused callers, and how many of those
// were kept and have lapsed.
func (b *Balancer) ReturnTotals() (promised, kept, lapsed int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.returnTotals.Promised, b.returnTotals.Kept, b.returnTotals.Lapsed
}

// admitReturn recognizes a request that comes back after a refusal. It rejects one that comes back
// before the time that it was told: callers who come back at once would otherwise find more places
// that happen to be free than those who wait.
func (b *Balancer) admitReturn(now time.Time, s *service, r *Request) (d Decision, early bool) {
	if !b.options.Policy.Returns || r.AlreadyCounted || r.Allowed == nil || len(s.promises) == 0 {
		return Decision{}, false
	}
	region := s.onlyRegion(r)
	ledger := s.promises[region]
	if ledger == nil {
		return Decision{}, false
	}
	status, left := ledger.Claim(now, r.caller())
	r.returned = status
	if status != returns.Early {
		return Decision{}, false
	}
	d = s.rejection(now, region, left, left+r.serviceTime()+b.options.RTT(region))
	d.Return = status
	return d, true
}

// promiseReturn sets when the caller of a rejected request should come back, if only one region may
// run the request. Second sends and repeats of this VM get no promise: the caller may not learn of
// their rejection.
func (b *Balancer) promiseReturn(now time.Time, s *service, r *Request, w queueWait, d *Decision) {
	d.Return = r.returned
	share := b.options.Policy.PromisedShare
	if !b.options.Policy.Returns || share <= 0 || r.AlreadyCounted || r.Allowed == nil || s.onlyRegion(r) != w.region {
		return
	}
	ledger := b.promisesOf(now, s, w.region)
	ledger.update(now, s.slotShare(now, w.region))
	offer := returns.Offer{
		Earliest: max(w.wait, minRetryAfter),
		Interval: time.Duration(float64(s.occupancy.unbiasedMean(r.serviceTime())) / max(ledger.slots*share, minPromisedSlots)),
		Latest:   now.Add(min(time.Duration(honouredShare*float64(r.givesUp().Sub(now))), maxPromiseTime)),
	}
	if t := s.preferredTarget(now, r, w.region); t != nil {
		offer.Target = t.hash
		offer.TargetInterval = time.Duration(float64(offer.Interval) * max(1, s.slots(now, w.region)/max(t.usableSlots(s.occupancy.mean), minPromisedSlots)))
	}
	left := r.givesUp().Sub(now)
	latestStart := now.Add(max(0, left-b.timeToServe(s, r, w.region)))
	isShort := latestStart.Before(offer.Latest)
	if isShort {
		offer.Latest = latestStart
	}
	wait, reserved := ledger.Promise(now, r.caller(), offer)
	wait = max(wait, minRetryAfter)
	if isShort && !reserved {
		// It would come back too late to be served before it gives up.
		wait = max(wait, left)
	}
	d.RetryAfter = wait
	if reserved {
		d.Promised = wait
	}
}

// promisedWait returns how much longer than the queue says a request waits if all callers come back
// that are promised a place before it. A request that comes back as promised itself waits only for
// those that are due already.
func (b *Balancer) promisedWait(now time.Time, s *service, r *Request, w queueWait) time.Duration {
	ledger := b.promisesBefore(s, r, w.region)
	if ledger == nil {
		return 0
	}
	interval, rank := s.releaseInterval(now, r, w.region), r.rank()
	if r.missesObjective(now) {
		rank = math.MaxInt
	}
	if r.keepsPromise() {
		return time.Duration(ledger.PendingBefore(now, 0, rank)) * interval
	}
	promised := time.Duration(0)
	for range maxPromiseRounds {
		next := time.Duration(ledger.PendingBefore(now, w.wait+promised, rank)) * interval
		if next == promised {
			break
		}
		promised = next
	}
	return promised
}

// promisesBefore returns the promises for a region that a request may have to wait for, nil if there are
// none. Requests that other regions may run do not wait for any: those may have free slots.
func (b *Balancer) promisesBefore(s *service, r *Request, region string) *promises {
	p := s.promises[region]
	if p == nil || !b.options.Policy.Returns || s.onlyRegion(r) != region {
		return nil
	}
	return p
}

// canAcceptReturn reports whether a target may get a request with an affinity key that comes back as promised and
// for which it has no place in its usual queue.
func (t *Target) canAcceptReturn(now time.Time, r *Request) bool {
	queue := t.queueLength(now)
	return r.keepsPromise() && queue > 0 && t.available(now) && t.inFlight() < t.Slots+queue+returnedQueue && t.admits(now)
}

// mustWait reports whether a request stays in the queue rather than being sent to a full target: one that
// would end too late there, as it may still get a slot that becomes free earlier, and one that would take
// a place that is promised or that an account with less work waits for. One that comes back as promised would
// lose each slot that becomes free to another VM, so it is sent if it ends there before its deadline, beyond the
// usual queue only while no request of a more urgent rank waits.
func (b *Balancer) mustWait(now time.Time, s *service, t *Target, r *Request, cost time.Duration) bool {
	end := now.Add(cost)
	if r.keepsPromise() {
		return end.After(r.Deadline) || !t.canAccept(now) && s.queue.hasMoreUrgent(r, t.Region)
	}
	return end.After(r.latestEnd()) || b.isPromised(now, s, t, r) || s.queue.yieldsPlace(now, r, t.Region)
}

// isPromised reports whether the last place in the queue of a full target is kept for callers that are
// to come back and are no less urgent than a request. Otherwise all VMs fill the queues of the targets,
// and a caller that comes back waits for a slot that this VM gets at its own target.
func (b *Balancer) isPromised(now time.Time, s *service, t *Target, r *Request) bool {
	ledger := b.promisesBefore(s, r, t.Region)
	if ledger == nil || r.keepsPromise() || t.inFlight()+promisedQueue < t.Slots+t.queueLength(now) {
		return false
	}
	return ledger.HasPending(now, r.rank())
}

// timeToServe returns how long before its caller gives up a request must come back: it may wait at the
// target for as long as another request holds a slot.
func (b *Balancer) timeToServe(s *service, r *Request, region string) time.Duration {
	return b.options.RTT(region) + r.serviceTime() + s.occupancy.unbiasedMean(r.serviceTime())
}

// preferredTarget returns the first target for the affinity key of a request, nil if there is none.
func (s *service) preferredTarget(now time.Time, r *Request, region string) *Target {
	if !r.HasKey {
		return nil
	}
	if targets := s.affinityTargets(now, r, region); len(targets) > 0 {
		return targets[0].target
	}
	return nil
}

// releaseInterval returns the mean time between two slots of a region that become free for this VM.
func (s *service) releaseInterval(now time.Time, r *Request, region string) time.Duration {
	return time.Duration(float64(s.occupancy.unbiasedMean(r.serviceTime())) / s.slotShare(now, region))
}

// promisesOf returns the promises for a region. Until this VM's part of its slots is measured, it is taken
// for that of each VM of the local region.
func (b *Balancer) promisesOf(now time.Time, s *service, region string) *promises {
	p := s.promises[region]
	if p == nil {
		equal := s.slots(now, region) / float64(max(1, len(b.vmHashes)))
		p = &promises{Ledger: returns.NewLedger(&b.returnTotals), slots: equal, updatedAt: now}
		s.promises[region] = p
	}
	return p
}

func (b *Balancer) expirePromises(now time.Time) {
	for _, s := range b.services {
		for _, l := range s.promises {
			l.Expire(now)
		}
	}
}

// caller returns what the caller of a request is recognized by.
func (r *Request) caller() returns.Caller {
	c := returns.Caller{Key: r.Key, Rank: r.rank(), GivesUp: r.GivesUp}
	if !r.HasKey {
		c.Key, c.IsAccount = HashOf(r.Account), true
	}
	return c
}

// rank combines the ranks of account and route, 0 the highest.
func (r *Request) rank() int { return r.AccountPriority<<rankBits | min(r.Priority, 1<<rankBits-1) }

// rankBits is the number of bits for the rank of a route.
const rankBits = 16

// givesUp returns when the caller stops waiting, by what it has stated or by the deadline.
func (r *Request) givesUp() time.Time {
	if r.GivesUp.IsZero() {
		return r.Deadline
	}
	return r.GivesUp
}

// keepsPromise reports whether the request has come back at the time that its caller was told. Second
// sends of it do not count: its place is used.
func (r *Request) keepsPromise() bool { return r.returned == returns.Kept && !r.AlreadyCounted }
