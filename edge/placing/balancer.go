package placing

import (
	"sync"
	"time"
)

const (
	// coldOwners is how many VMs of a region send to a cold target. Each may
	// begin with one request at once, so that their number is part of the sum.
	coldOwners = 3
	// largeStays is the part of the own region's slots in use up to which large
	// bodies stay there: bytes between regions are scarce.
	largeStays = 0.8
	// lossFor is how long after a loss of capacity shares move quickly.
	lossFor = 4 * time.Second
	// minRetryAfter keeps refused callers from coming back within a round trip.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is about a third of the time that callers have.
	maxRetryAfter = 700 * time.Millisecond
	// peerLife is how long another VM's counts hold without news.
	peerLife = 1200 * time.Millisecond
)

// Options configure a Board.
type Options struct {
	VM, Zone, Region string
	// RegionOf maps a failure domain to its region.
	RegionOf map[string]string
	// Delay is the network's to a region and back.
	Delay func(region string) time.Duration
}

// Board holds targets, lines and counts of one VM. It is safe for use by several
// goroutines; no call blocks.
type Board struct {
	options Options
	hash    uint64

	mu       sync.Mutex
	services map[string]*service
	peers    map[string]*Peer
	reported report
	// heard counts the requests of all peers, by KeyOf the target.
	heard map[uint32]*heard
	// vms are the names of the VMs of the own region among which work is divided, by hash.
	vms []uint64
	// vmNames are the same as they were told.
	vmNames []string
	// lossAt is when capacity was last lost without a plan.
	lossAt time.Time
}

// New returns an empty board.
func New(o Options) *Board {
	return &Board{
		options: o, hash: HashOf(o.VM),
		services: make(map[string]*service), peers: make(map[string]*Peer), heard: make(map[uint32]*heard),
	}
}

// Place decides on a request. It returns a decision, or a waiter whose decision
// comes later.
func (b *Board) Place(now time.Time, r *Request) (Decision, *Waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[r.Service]
	if s == nil {
		return Decision{Reason: NoTarget, RetryAfter: maxRetryAfter}, nil
	}
	s.forgetLoads()
	if !r.Again {
		s.demand.add(now, r.work())
		b.stepShares(now, s)
		s.shares.accrue(now)
	}
	region := b.regionFor(now, s, r)
	if region == "" {
		return Decision{Reason: NoTarget, RetryAfter: maxRetryAfter}, nil
	}
	if !r.Again {
		s.shares.spend(region)
	}
	if d, ok := b.give(now, s, r, region); ok {
		return d, nil
	}
	if refusal, late := b.tooLate(now, s, r, region); late {
		return refusal, nil
	}
	w := &Waiter{request: r, region: region, last: r.lastEnd(), decided: make(chan Decision, 1)}
	s.line.add(w, now)
	return Decision{}, w
}

// give counts a request in at the best open target.
func (b *Board) give(now time.Time, s *service, r *Request, region string) (Decision, bool) {
	t, cost := s.best(now, r, region)
	// A full target takes no request that would miss its time there: it stays in line
	// for a slot that no other one needs.
	if t == nil || t.full() && now.Add(cost).After(r.lastEnd()) {
		return Decision{}, false
	}
	warm := r.HasObject && t.knows(r.Object, now)
	s.addOwn(t)
	if now.Before(t.coldTill) {
		t.cold.take(now)
	}
	if r.HasObject {
		t.remember(r.Object, now)
	}
	return Decision{
		Target: t, Region: region, Warm: warm, Expected: cost,
		InHand: t.inHand() - 1, Slots: t.Slots, HeardAge: b.heardAge(now),
	}, true
}

// tooLate refuses a request that would end after its lastEnd if it waited in the line.
func (b *Board) tooLate(now time.Time, s *service, r *Request, region string) (Decision, bool) {
	wait := time.Duration(float64(s.line.ahead(r, now)) / s.pace(now, region))
	end := now.Add(wait + r.work() + b.options.Delay(region))
	if !end.After(r.lastEnd()) {
		return Decision{}, false
	}
	return s.refusal(now, region, wait, end.Sub(now)), true
}

// refusal refuses for want of slots, and tells of the region what a log line needs.
func (s *service) refusal(now time.Time, region string, wait, expected time.Duration) Decision {
	s.refusedAt = now
	l := s.loadOf(now, region)
	return Decision{
		Reason: TooLate, Region: region, RetryAfter: retryAfter(wait), Expected: expected, Slots: l.slots, InHand: l.inHand,
	}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Leave takes a waiter out whose caller has gone. If it was decided in the same
// moment the decision is returned and must be ended by Done.
func (b *Board) Leave(w *Waiter) (Decision, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[w.request.Service]; s != nil && s.line.remove(w) {
		return Decision{}, false
	}
	return <-w.decided, true
}

// Waiting returns how many requests wait.
func (b *Board) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.services {
		n += len(s.line.waiting)
	}
	return n
}
