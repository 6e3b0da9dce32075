package placing

import (
	"sync"
	"time"
)

const (
	// coldSenders is how many VMs of a region send to a cold target. Each may
	// begin with one request at once, so that their number is part of the sum.
	coldSenders = 3
	// largeLocalUtilization is the part of the own region's slots in use up to which large
	// bodies stay there: bytes between regions are scarce.
	largeLocalUtilization = 0.8
	// lossWindow is how long after a loss of capacity region weights move quickly.
	lossWindow = 4 * time.Second
	// minRetryAfter keeps refused callers from retrying within a round trip.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is about a third of the time that callers have.
	maxRetryAfter = 700 * time.Millisecond
	// peerTTL is how long another VM's counts hold without a newer report.
	peerTTL = 1200 * time.Millisecond
)

// Options configure a Balancer.
type Options struct {
	VM, Zone, Region string
	// RegionOf maps a failure domain to its region.
	RegionOf map[string]string
	// RTT is the network's to a region and back.
	RTT func(region string) time.Duration
}

// Balancer holds targets, wait queues and counts of one VM. It is safe for use by several
// goroutines; no call blocks.
type Balancer struct {
	options Options
	hash    uint64

	mu         sync.Mutex
	services   map[string]*service
	peers      map[string]*PeerReport
	lastReport report
	// remote counts the requests of all peers, by TargetKey the target.
	remote map[uint32]*remoteCount
	// vmHashes are the names of the VMs of the own region among which work is divided, by hash.
	vmHashes []uint64
	// vmNames are the names behind these hashes.
	vmNames []string
	// tolerance is how many requests a region may be ahead of its weight.
	tolerance float64
	// lossAt is when capacity was last lost without a plan.
	lossAt time.Time
}

// New returns an empty balancer.
func New(o Options) *Balancer {
	return &Balancer{
		options: o, hash: HashOf(o.VM),
		services: make(map[string]*service), peers: make(map[string]*PeerReport), remote: make(map[uint32]*remoteCount),
		tolerance: baseTolerance,
	}
}

// Place decides on a request. It returns a decision, or a waiter whose decision
// comes later.
func (b *Balancer) Place(now time.Time, r *Request) (Decision, *Waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[r.Service]
	if s == nil {
		return Decision{Reason: NoTarget, RetryAfter: maxRetryAfter}, nil
	}
	s.resetLoads()
	if !r.AlreadyCounted {
		s.demand.add(now, r.serviceTime())
		b.stepWeights(now, s)
		s.weights.accrue(now)
	}
	region := b.regionFor(now, s, r)
	if region == "" {
		return Decision{Reason: NoTarget, RetryAfter: maxRetryAfter}, nil
	}
	if !r.AlreadyCounted {
		s.weights.charge(region, b.tolerance)
	}
	if d, ok := b.assign(now, s, r, region); ok {
		return d, nil
	}
	if refusal, late := b.rejectLate(now, s, r, region); late {
		return refusal, nil
	}
	w := &Waiter{request: r, region: region, latestEnd: r.latestEnd(), decided: make(chan Decision, 1)}
	s.queue.add(w, now)
	return Decision{}, w
}

// assign counts a request in at the best open target.
func (b *Balancer) assign(now time.Time, s *service, r *Request, region string) (Decision, bool) {
	t, cost := s.best(now, r, region)
	// A full target takes no request that would miss its time there: it stays in the
	// queue for a slot that no other one needs.
	if t == nil || t.full() && now.Add(cost).After(r.latestEnd()) {
		return Decision{}, false
	}
	warm := r.HasKey && t.isWarm(r.Key, now)
	s.addLocal(t)
	if now.Before(t.coldUntil) {
		t.cold.take(now)
	}
	if r.HasKey {
		t.markWarm(r.Key, now)
	}
	return Decision{
		Target: t, Region: region, Warm: warm, Expected: cost,
		InFlight: t.inFlight() - 1, Slots: t.Slots, CountsAge: b.countsAge(now),
		FailuresAreWidespread: s.failures.areWidespread(),
	}, true
}

// rejectLate refuses a request that would end after its latestEnd if it waited in the queue.
func (b *Balancer) rejectLate(now time.Time, s *service, r *Request, region string) (Decision, bool) {
	wait := time.Duration(float64(s.queue.backlog(r, now)) / s.slotShare(now, region))
	end := now.Add(wait + r.serviceTime() + b.options.RTT(region))
	if !end.After(r.latestEnd()) {
		return Decision{}, false
	}
	return s.refusal(now, region, wait, end.Sub(now)), true
}

// refusal refuses for want of slots, with what a log line needs of the region.
func (s *service) refusal(now time.Time, region string, wait, expected time.Duration) Decision {
	s.refusedAt = now
	l := s.loadOf(now, region)
	return Decision{
		Reason: TooLate, Region: region, RetryAfter: retryAfter(wait), Expected: expected, Slots: l.slots, InFlight: l.inFlight,
	}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Cancel takes a waiter out whose caller has gone. If it was decided in the same
// moment the decision is returned and must be ended by Done.
func (b *Balancer) Cancel(w *Waiter) (Decision, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[w.request.Service]; s != nil && s.queue.remove(w) {
		return Decision{}, false
	}
	return <-w.decided, true
}

// Waiting returns how many requests wait.
func (b *Balancer) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.services {
		n += len(s.queue.waiting)
	}
	return n
}
