package placing

import (
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/fairshare"
	"github.com/yuccaroute/yuccaroute/edge/returns"
)

const (
	// coldSenders is the number of VMs of a region that send to a cold target. Each may
	// send its first request immediately, so this is also the largest initial burst.
	coldSenders = 3
	// largeLocalUtilization is the utilization of the local region up to which requests
	// with large bodies stay there, to save bandwidth between regions.
	largeLocalUtilization = 0.8
	// lossWindow is how long region weights move at lossShiftRate after a capacity loss.
	lossWindow = 4 * time.Second
	// minRetryAfter keeps rejected callers from retrying within a round trip.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter leaves callers time to retry before their own deadline.
	maxRetryAfter = 700 * time.Millisecond
	// peerTTL is how long a peer report is valid.
	peerTTL = 1200 * time.Millisecond
)

// Options configure a Balancer.
type Options struct {
	VM, Zone, Region string
	// RegionOf maps a failure domain to its region.
	RegionOf map[string]string
	// RTT returns the network round-trip time to a region.
	RTT func(region string) time.Duration
	// Policy selects the optional decisions; the zero value has none.
	Policy Policy
}

// Balancer holds the targets, wait queues and in-flight counts of one VM. It is safe for
// concurrent use, and no method waits for a target.
type Balancer struct {
	options Options
	hash    uint64
	names   regionNames

	mu         sync.Mutex
	services   map[string]*service
	peers      map[string]*PeerReport
	lastReport report
	// remote counts the in-flight requests of all peers by TargetKey.
	remote map[uint32]*remoteCount
	// byKey holds the listed targets by TargetKey.
	byKey map[uint32][]*Target
	// vmHashes and vmNames are the VMs of the local region that share the rate of cold targets.
	vmHashes []uint64
	vmNames  []string
	// tolerance is how many requests a region may be ahead of its weight.
	tolerance float64
	// limitOf returns the limit that a target has stated.
	limitOf    func(t *Target) RateLimit
	statements statements
	// held are the targets whose stated counts are newer than the reports of other VMs.
	held []*Target
	sets workingSets
	// returnTotals bounds and counts the promises to refused callers.
	returnTotals returns.Totals
	// work is the work of client accounts, and overtaken counts the waiting requests that were refused
	// because requests of accounts with less work were served first.
	work      *fairshare.Table
	overtaken int64
	// lossAt is when capacity was last lost unexpectedly.
	lossAt time.Time
}

// New returns an empty balancer.
func New(o Options) *Balancer {
	return &Balancer{
		options: o, hash: HashOf(o.VM), names: namesOf(o),
		services: make(map[string]*service), peers: make(map[string]*PeerReport), remote: make(map[uint32]*remoteCount),
		byKey:     make(map[uint32][]*Target),
		tolerance: baseTolerance, limitOf: func(*Target) RateLimit { return nil },
		statements: statements{byIncarnation: make(map[uint64]*statement)}, sets: newWorkingSets(),
		work: fairshare.NewTable(),
	}
}

// Place assigns a request to a target, rejects it or queues it. If the waiter is not nil
// the request is queued and the decision is delivered by the waiter.
func (b *Balancer) Place(now time.Time, r *Request) (Decision, *Waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[r.Service]
	if s == nil {
		return Decision{Reason: NoTarget, RetryAfter: maxRetryAfter}, nil
	}
	s.resetLoads()
	if s.isCutOff(r) {
		return Decision{Reason: Unreached, RetryAfter: maxRetryAfter}, nil
	}
	r.regions = b.names.setOf(r)
	if refusal, refused := b.admitToWorkingSet(now, s, r); refused {
		return refusal, nil
	}
	if d, early := b.admitReturn(now, s, r); early {
		return d, nil
	}
	if !r.AlreadyCounted {
		s.demand.add(now, b.countRestricted(now, s, r))
		b.stepWeights(now, s, r.regions)
		b.weightsFor(s, r).accrue(now)
	}
	region := b.regionFor(now, s, r)
	if region == "" {
		region = b.firstRested(now, s, r)
	}
	if region == "" {
		return s.rejectWithoutTarget(r), nil
	}
	if !r.AlreadyCounted {
		b.weightsFor(s, r).charge(region, b.tolerance)
	}
	if d, ok := b.assign(now, s, r, region); ok {
		return d, nil
	}
	if _, limited := b.permitsOf(now, s, region, r); limited {
		if d, ok := b.elsewhere(now, s, r, region); ok {
			return d, nil
		}
	}
	s.queue.beginWaiting(now, r, region)
	before := s.queue.backlog(r, region, now)
	if rejection, tried := b.rejectTried(now, s, r, region, before); tried {
		return rejection, nil
	}
	wait := b.estimateWait(now, s, r, region, before, permitMargin)
	if rejection, late := b.rejectLate(now, s, r, wait); late {
		return rejection, nil
	}
	w := &Waiter{request: r, region: region, latestEnd: r.latestEnd(), queuedAt: now, decided: make(chan Decision, 1)}
	if wait.limited {
		w.permitted = r.latestPermittedEnd(now).Sub(now)
	}
	s.queue.add(w, now)
	return Decision{}, w
}

// assign selects the best target that accepts a request and counts the request there.
func (b *Balancer) assign(now time.Time, s *service, r *Request, region string) (Decision, bool) {
	t, cost := s.best(now, r, region)
	if t == nil || t.full() && b.mustWait(now, s, t, r, cost) {
		return Decision{}, false
	}
	if t.limit != nil && !t.limit.Use() {
		return Decision{}, false
	}
	warm := r.HasKey && t.isWarm(r.Key, now)
	b.countRun(s, r, warm)
	s.countStart(now, t.Region, r)
	s.addLocal(t)
	if now.Before(t.coldUntil) {
		t.cold.take(now)
	}
	if r.HasKey {
		t.markWarm(r.Key, now)
	}
	pace, loadAge := t.load.lastPace(now)
	d := Decision{
		Target: t, Region: region, Warm: warm, Expected: t.expected(now, cost), Pace: pace, LoadAge: loadAge,
		InFlight: t.inFlight() - 1, Slots: t.Slots, CountsAge: b.countsAge(now),
		FailuresAreWidespread: s.failures.areWidespread(), Return: r.returned,
	}
	d.startInWorkingSet(b.scopeOf(now, s, r), r)
	s.queue.startWork(now, r, &d, r.Class.serviceTime(warm))
	return d, true
}

// rejectTried rejects a request that has been to all targets that it may use. None of them may get it again, so
// that it would wait in vain. The request may be a hedge, of which no caller learns: it neither counts as a
// refusal nor takes a place among the callers that are told to return.
func (b *Balancer) rejectTried(now time.Time, s *service, r *Request, region string, before backlog) (Decision, bool) {
	if len(r.Tried) == 0 || s.hasUntriedTarget(r) {
		return Decision{}, false
	}
	again := *r
	again.Tried = nil
	w := b.estimateWait(now, s, &again, region, before, 1)
	l := s.loadOf(now, region)
	return Decision{
		Reason: TooLate, Region: region, RetryAfter: retryAfter(w.wait), Slots: int(l.slots), InFlight: l.inFlight,
		Expected: w.wait + r.serviceTime() + b.options.RTT(region),
	}, true
}

// rejectLate rejects a request that would end too late if it were queued.
func (b *Balancer) rejectLate(now time.Time, s *service, r *Request, w queueWait) (Decision, bool) {
	if !w.limited {
		w.promised = b.promisedWait(now, s, r, w)
		return b.rejectAfter(now, s, r, w, r.latestEnd())
	}
	if claimed, pending := s.returnsTo(w.region).claim(now); w.permits.stated && pending && !claimed {
		w.wait = maxPermitWait
	}
	return b.rejectAfter(now, s, r, w, r.latestPermittedEnd(now))
}

// rejectAfter rejects a request that would end too late after a wait.
func (b *Balancer) rejectAfter(now time.Time, s *service, r *Request, w queueWait, latestEnd time.Time) (Decision, bool) {
	expected := w.wait + w.promised + r.serviceTime() + b.options.RTT(w.region)
	if !now.Add(expected).After(latestEnd) {
		return Decision{}, false
	}
	d := s.rejection(now, w.region, s.retryAfterWait(now, w, r), expected)
	s.queue.recordAccountWork(now, r, w.region, &d)
	switch {
	case w.permits.resting:
		d.Reason = AtRest
	case w.limited:
		d.Reason = NoPermit
	default:
		b.promiseReturn(now, s, r, w, &d)
	}
	return d, true
}

// rejection returns a rejection for lack of capacity, with the region's load for the log.
func (s *service) rejection(now time.Time, region string, retryAfter, expected time.Duration) Decision {
	s.rejectedAt = now
	l := s.loadOf(now, region)
	return Decision{
		Reason: TooLate, Region: region, RetryAfter: retryAfter, Expected: expected, Slots: int(l.slots), InFlight: l.inFlight,
	}
}

// RetryAfter returns when a request is worth sending again that targets have refused.
func (b *Balancer) RetryAfter(now time.Time, r *Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[r.Service]
	if s == nil {
		return maxRetryAfter
	}
	s.resetLoads()
	again := *r
	again.Tried, again.regions = nil, b.names.setOf(r)
	region := b.regionFor(now, s, &again)
	if region == "" {
		region = b.firstRested(now, s, &again)
	}
	if region == "" {
		return maxRetryAfter
	}
	w := b.estimateWait(now, s, &again, region, s.queue.backlog(&again, region, now), 1)
	return s.retryAfterWait(now, w, &again)
}

// retryAfterWait returns the Retry-After of a request that would wait too long.
func (s *service) retryAfterWait(now time.Time, w queueWait, r *Request) time.Duration {
	if w.permits.stated {
		return s.returnsTo(w.region).next(now, w.permits, w.before.requests, r.Deadline)
	}
	return retryAfter(w.wait)
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Cancel removes a waiter from the queue and returns the region in which it waited. If it was decided
// concurrently, Cancel returns the decision and true; if that has a target the caller must call Done.
func (b *Balancer) Cancel(w *Waiter) (Decision, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[w.request.Service]; s != nil && s.queue.remove(w) {
		return Decision{Region: w.region}, false
	}
	return <-w.decided, true
}

// Waiting returns the number of queued requests.
func (b *Balancer) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.services {
		n += len(s.queue.waiting)
	}
	return n
}
