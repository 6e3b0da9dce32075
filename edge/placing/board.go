package placing

import (
	"sort"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
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
	// Delay is the network's to a region and back; Crossing between the failure
	// domains of a region.
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
	// vms are the names of the live VMs of the own region, by hash.
	vms []uint64
	// lossAt is when capacity was last lost without a plan.
	lossAt time.Time
}

// Peer is what another VM tells, of itself or of several VMs.
type Peer struct {
	// InHand counts requests at targets, by HashOf of the target's id.
	InHand map[uint64]int
	// Demand is the slots that callers' requests need, by region and service.
	Demand map[string]map[string]float64
	// Sum tells that these are the sums of several VMs.
	Sum bool
	At  time.Time
}

// New returns an empty board.
func New(o Options) *Board {
	return &Board{
		options: o, hash: HashOf(o.VM),
		services: make(map[string]*service), peers: make(map[string]*Peer),
	}
}

// Listing is one target as the catalog lists it.
type Listing struct {
	site.Target
	ColdUntil time.Time
}

// SetTargets puts services and targets in force; evacuated domains get nothing.
func (b *Board) SetTargets(now time.Time, services map[string]site.Service, list []Listing, evacuated map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		b.setTarget(now, b.service(services, l.Service), l, evacuated[l.Zone])
	}
	for _, s := range b.services {
		for id, t := range s.targets {
			if !listed[id] {
				t.usable = false
				delete(s.targets, id)
			}
		}
		s.sortRegions()
		s.ColdRate = services[s.Name].ColdRate
	}
	b.limitCold()
	b.serveAll(now)
}

func (b *Board) service(services map[string]site.Service, name string) *service {
	s := b.services[name]
	if s == nil {
		known := services[name]
		known.Name = name
		s = newService(known)
		b.services[name] = s
	}
	if known, ok := services[name]; ok {
		s.Service = known
	}
	return s
}

func (b *Board) setTarget(now time.Time, s *service, l Listing, evacuated bool) {
	t := s.targets[l.ID]
	if t == nil || t.Address != l.Address || t.Zone != l.Zone {
		t = b.newTarget(l)
		s.targets[l.ID] = t
	}
	usable := !l.Draining && !evacuated
	if usable && t.evacuated {
		// Its domain is taken back: it may have become cold meanwhile.
		t.coldTill = now.Add(s.ColdTime)
	}
	t.usable, t.evacuated = usable, evacuated
	// The fields that name the target stay as they are: the request path reads
	// them without the lock.
	t.Slots = l.Slots
	t.delay = b.options.Delay(t.Region)
	if l.ColdFor > 0 && l.ColdUntil.Add(coldMargin).After(t.coldTill) {
		t.coldTill = l.ColdUntil.Add(coldMargin)
	}
}

func (b *Board) newTarget(l Listing) *Target {
	region := b.options.RegionOf[l.Zone]
	return &Target{
		Target: l.Target, Region: region, hash: HashOf(l.ID), delay: b.options.Delay(region),
		warm: make(map[uint64]time.Time), slow: 1,
	}
}

func (s *service) sortRegions() {
	s.regions = make(map[string][]*Target)
	for _, t := range s.targets {
		s.regions[t.Region] = append(s.regions[t.Region], t)
	}
	for _, list := range s.regions {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// SetVMs tells which VMs of the own region are live, this one included.
func (b *Board) SetVMs(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = b.vms[:0]
	for _, name := range names {
		b.vms = append(b.vms, HashOf(name))
	}
	b.limitCold()
}

// limitCold gives this VM its part of what cold targets bear. Only the VMs that a
// hash names for a target send to it while it is cold: with all VMs sending their
// first request at once, a target would get one from each within a moment.
func (b *Board) limitCold() {
	for _, s := range b.services {
		for _, t := range s.targets {
			t.cold.rate = b.coldRate(s, t)
		}
	}
}

func (b *Board) coldRate(s *service, t *Target) float64 {
	if s.ColdRate <= 0 {
		return 1e6
	}
	if t.Region != b.options.Region {
		return 0
	}
	mine, before := draw(b.hash, t.hash), 0
	for _, vm := range b.vms {
		if vm != b.hash && draw(vm, t.hash) > mine {
			before++
		}
	}
	if before >= coldOwners {
		return 0
	}
	return s.ColdRate / float64(min(coldOwners, max(1, len(b.vms))))
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
	if !r.Again {
		s.demand.add(now, r.work())
		r.Class.arrive(now, r)
		s.vms = max(1, len(b.vms))
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

// regionFor returns the region that runs a request: the one whose share is due if
// it can answer in time there, "" if no region has a target.
func (b *Board) regionFor(now time.Time, s *service, r *Request) string {
	if own := b.options.Region; r.Large && r.allows(own) && s.slots(now, own) > 0 && s.use(now, own) < largeStays {
		return own
	}
	work := r.work()
	region, ok := s.shares.pick(r, func(region string) bool {
		if !r.allows(region) || s.slots(now, region) == 0 {
			return false
		}
		return region == b.options.Region || !now.Add(b.options.Delay(region)+work).After(r.Aim)
	})
	if ok {
		return region
	}
	return b.nearest(now, s, r)
}

// nearest is the allowed region with targets and the least delay.
func (b *Board) nearest(now time.Time, s *service, r *Request) string {
	best := ""
	for region := range s.regions {
		if !r.allows(region) || s.slots(now, region) == 0 {
			continue
		}
		if best == "" || b.options.Delay(region) < b.options.Delay(best) ||
			(b.options.Delay(region) == b.options.Delay(best) && region < best) {
			best = region
		}
	}
	return best
}

// give counts a request in at the best open target.
func (b *Board) give(now time.Time, s *service, r *Request, region string) (Decision, bool) {
	t, cost := s.best(now, r, region)
	if t == nil {
		return Decision{}, false
	}
	warm := r.HasObject && t.knows(r.Object, now)
	t.own++
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

// tooLate refuses a request that would miss its aim, or its deadline, in the line.
func (b *Board) tooLate(now time.Time, s *service, r *Request, region string) (Decision, bool) {
	wait := time.Duration(float64(s.line.ahead(r, now)) / s.pace(now, region))
	end := now.Add(wait + r.work() + b.options.Delay(region))
	if !end.After(r.lastEnd()) {
		return Decision{}, false
	}
	return Decision{Reason: TooLate, RetryAfter: retryAfter(wait), Expected: end.Sub(now), Slots: s.slots(now, region)}, true
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

// End is how a request ended at a target.
type End int

// Ends of a request.
const (
	// Answered: the target gave its whole answer.
	Answered End = iota
	// Shed: the target did not run the request.
	Shed
	// Broken: the answer was lost, spoilt or an error of the target.
	Broken
	// Unreachable: no connection could be had.
	Unreachable
	// Cancelled: the caller or the system gave up; it says nothing of the target.
	Cancelled
)

// Done ends a request that was given a target. took is from sending to the
// answer's end.
func (b *Board) Done(now time.Time, d Decision, class *Class, end End, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := d.Target
	t.own--
	switch end {
	case Answered:
		t.succeeded(now, class, d.Warm, took-t.delay)
	case Broken:
		t.failed(now, false)
		b.noteLoss(now, t)
	case Shed:
		t.failed(now, false)
	case Unreachable:
		t.failed(now, true)
		b.noteLoss(now, t)
	case Cancelled:
	}
	if s := b.services[t.Service]; s != nil {
		s.serve(now, b)
	}
}

func (b *Board) noteLoss(now time.Time, t *Target) {
	if t.probing {
		b.lossAt = now
	}
}

// serveAll gives free targets to waiting requests and refuses those that are late.
func (b *Board) serveAll(now time.Time) {
	for _, s := range b.services {
		s.serve(now, b)
	}
}

// Tick serves the lines, which counts of other VMs and the time may have freed.
func (b *Board) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serveAll(now)
}

// serve is called with the lock held. Requests that would be served too late learn
// it now, not when their time is over: their callers can still go elsewhere.
func (s *service) serve(now time.Time, b *Board) {
	if len(s.line.waiting) == 0 {
		return
	}
	kept := s.line.waiting[:0]
	ahead := make(map[string]time.Duration)
	for _, w := range s.line.waiting {
		d, ok := b.decide(now, s, w, ahead[w.region])
		if !ok {
			ahead[w.region] += w.request.work()
			kept = append(kept, w)
			continue
		}
		w.decided <- d
	}
	clear(s.line.waiting[len(kept):])
	s.line.waiting = kept
}

// decide serves or refuses a waiting request with the work before it.
func (b *Board) decide(now time.Time, s *service, w *Waiter, ahead time.Duration) (Decision, bool) {
	if s.slots(now, w.region) == 0 {
		if region := b.nearest(now, s, w.request); region != "" {
			w.region = region
		}
	}
	if d, ok := b.give(now, s, w.request, w.region); ok {
		return d, true
	}
	wait := time.Duration(float64(ahead) / s.pace(now, w.region))
	need := wait + w.request.work() + b.options.Delay(w.region)
	if now.Add(need).After(w.last) {
		return Decision{Reason: TooLate, RetryAfter: retryAfter(wait)}, true
	}
	return Decision{}, false
}

// stepShares moves a service's shares towards what demand and capacity ask for.
func (b *Board) stepShares(now time.Time, s *service) {
	rate := shiftRate
	if now.Sub(b.lossAt) < lossFor && !b.lossAt.IsZero() {
		rate = lossRate
	}
	capacity := make(map[string]float64)
	for region := range s.regions {
		capacity[region] = float64(s.slots(now, region))
	}
	if s.shares.part == nil {
		s.shares.begin(now, b.options.Region, capacity)
	}
	s.shares.step(now, plan(b.options.Region, b.demandOf(now, s), capacity), rate)
}

func (b *Board) demandOf(now time.Time, s *service) map[string]float64 {
	s.demand.decay(now)
	needs := map[string]float64{b.options.Region: s.demand.slots}
	for _, p := range b.peers {
		if now.Sub(p.At) < peerLife {
			for region, services := range p.Demand {
				needs[region] += services[s.Name]
			}
		}
	}
	return needs
}

// SetPeer takes in what another VM tells; nil forgets it.
func (b *Board) SetPeer(now time.Time, name string, p *Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p == nil {
		delete(b.peers, name)
	} else {
		b.peers[name] = p
	}
	b.sumPeers(now)
	b.serveAll(now)
}

// heardAge is the age of the oldest counts of other VMs that decisions still use.
func (b *Board) heardAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range b.peers {
		if age := now.Sub(p.At); age < peerLife {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

func (b *Board) sumPeers(now time.Time) {
	sum := make(map[uint64]int)
	for _, p := range b.peers {
		if now.Sub(p.At) >= peerLife {
			continue
		}
		for target, n := range p.InHand {
			sum[target] += n
		}
	}
	for _, s := range b.services {
		for _, t := range s.targets {
			t.others = sum[t.hash]
		}
	}
}

// Report returns what other VMs are told.
func (b *Board) Report(now time.Time) (inHand map[uint64]int, needs map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inHand, needs = make(map[uint64]int), make(map[string]float64)
	for name, s := range b.services {
		s.demand.decay(now)
		needs[name] = s.demand.slots
		for _, t := range s.targets {
			if t.own > 0 {
				inHand[t.hash] = t.own
			}
		}
	}
	return inHand, needs
}

// Sums returns what all VMs but one have told, and this VM's own part.
func (b *Board) Sums(now time.Time, but string) (inHand map[uint64]int, needs map[string]map[string]float64) {
	own, ownNeeds := b.Report(now)
	inHand, needs = own, map[string]map[string]float64{b.options.Region: ownNeeds}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		if name == but || now.Sub(p.At) >= peerLife {
			continue
		}
		for target, n := range p.InHand {
			inHand[target] += n
		}
		for region, services := range p.Demand {
			if needs[region] == nil {
				needs[region] = make(map[string]float64)
			}
			for service, slots := range services {
				needs[region][service] += slots
			}
		}
	}
	return inHand, needs
}

// RegionSums returns what the VMs of the own region have told of themselves, and this
// VM's own part.
func (b *Board) RegionSums(now time.Time) (inHand map[uint64]int, needs map[string]float64) {
	own := b.options.Region
	inHand, needs = b.Report(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		services, near := p.Demand[own]
		if !near || p.Sum || now.Sub(p.At) >= peerLife {
			continue
		}
		for target, n := range p.InHand {
			inHand[target] += n
		}
		for service, slots := range services {
			needs[service] += slots
		}
	}
	return inHand, needs
}

// probeEvery is how long after one probe the next one of the same target may begin:
// longer than a probe takes.
const probeEvery = time.Second

// Suspects returns the ejected targets that a probe may readmit now. Each is returned
// once until the outcome of its probe is taken in, or probeEvery has passed.
func (b *Board) Suspects(now time.Time) []*Target {
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

// Probed takes in the outcome of a probe; coldFor is what the target said.
func (b *Board) Probed(now time.Time, t *Target, well bool, coldFor time.Duration) {
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
