package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// lease is how long a VM may use the tokens that it holds after the last report that the
	// coordinator has answered.
	lease = 2 * time.Second
	// pledgeTimeout is how long after its last report a VM counts as one that sends its
	// entitlement to this coordinator.
	pledgeTimeout = 3 * reportInterval
	// reservedShare is the part of the stored tokens that is kept for requests that wait, if any
	// do. VMs get tokens in advance only while the pool has more.
	reservedShare = 0.5
	// sweepInterval is the time between two searches for VMs whose lease has ended.
	sweepInterval = 100 * time.Millisecond
	// minWait and maxWait bound the time after which a VM asks for an exhausted account again.
	minWait = 50 * time.Millisecond
	maxWait = 700 * time.Millisecond
	// minPromise and maxPromise bound the time after which a VM asks again that holds no token.
	minPromise = 10 * time.Millisecond
	maxPromise = 30 * time.Second
	// minPledged is the least share of the fleet that promises assume: a new coordinator has not heard
	// of all VMs yet.
	minPledged = 0.5
	// claimTimeout is how long a token is kept for a VM after the time that it was promised for.
	claimTimeout = 500 * time.Millisecond
)

// Pool is the coordinator's side: it collects the entitlements of VMs and grants tokens for them.
// It does no I/O and is safe for concurrent use.
//
// Invariant: for each account, the tokens in the pool and those held by VMs are at most
// allowance.stored, and no token is granted that an entitlement has not paid for.
type Pool struct {
	bounds Bounds
	// limit returns the quota of an account.
	limit func(id uint32) (Limit, bool)
	// fleet returns the number of VMs among which the rates are divided.
	fleet func() int
	// reserved is the share of the stored tokens that is kept for requests that wait.
	reserved float64
	// promises is set if VMs that get no token in advance are told when to ask for the next one.
	promises bool

	mu sync.Mutex
	// minted is the sum of all entitlements received, in seconds.
	minted   float64
	accounts map[uint32]*pooled
	vms      map[uint64]*holderRecord
	sweptAt  time.Time
	transfers
}

// pooled is the state of one account.
type pooled struct {
	tokens float64
	// mintedAt is the value of Pool.minted up to which tokens includes entitlements.
	mintedAt float64
	// outstanding is the number of tokens that VMs hold in advance, or may hold. Those for
	// requests that wait are used as they arrive.
	outstanding int
	// denied counts the VMs that got no token for a request since deniedAt.
	denied   int
	deniedAt time.Time
	// promisedUntil is when the first token is due that is promised to no VM, promisedRate the rate
	// that the promises are for.
	promisedUntil time.Time
	promisedRate  float64
	// askedAt is when a VM last reported the account.
	askedAt time.Time
}

// holderRecord is what the coordinator knows of one VM.
type holderRecord struct {
	incarnation, sequence uint64
	reportedAt            time.Time
	// entitled is set if the last report had an entitlement.
	entitled bool
	held     map[uint32]int
	// promised is when the VM may ask again for a token.
	promised map[uint32]time.Time
	// unacknowledged are grants in advance that the VM may not have received, by sequence number.
	unacknowledged []sentGrants
}

type sentGrants struct {
	sequence uint64
	tokens   map[uint32]int
}

// NewPool returns an empty pool.
func NewPool(b Bounds, limit func(id uint32) (Limit, bool), fleet func() int) *Pool {
	return &Pool{
		bounds: b, limit: limit, fleet: fleet, reserved: reservedShare, accounts: make(map[uint32]*pooled),
		vms: make(map[uint64]*holderRecord), transfers: transfers{asked: make(map[uint64]time.Time)},
	}
}

// handle processes a report and returns the reply, nil for one that is older than another.
func (p *Pool) handle(now time.Time, m *request) *reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	vm := p.vms[m.vm]
	if vm != nil && vm.incarnation == m.incarnation && m.sequence <= vm.sequence || vm != nil && m.incarnation < vm.incarnation {
		return nil
	}
	if vm == nil || vm.incarnation != m.incarnation {
		// A VM that has restarted has lost what it held.
		p.drop(vm)
		vm = &holderRecord{incarnation: m.incarnation, held: make(map[uint32]int), promised: make(map[uint32]time.Time)}
		p.vms[m.vm] = vm
	}
	vm.sequence, vm.reportedAt, vm.entitled = m.sequence, now, m.entitlement > 0
	p.minted += min(max(0, m.entitlement), maxUnsent.Seconds())
	p.acknowledge(vm, m.received)
	p.replaceHeld(vm, m.accounts)
	return p.grantAll(now, vm, m)
}

// acknowledge forgets grants up to a sequence number: the VM has received them, and reports them
// as held, or will not use them.
func (p *Pool) acknowledge(vm *holderRecord, received uint64) {
	kept := vm.unacknowledged[:0]
	for _, sent := range vm.unacknowledged {
		if sent.sequence > received {
			kept = append(kept, sent)
			continue
		}
		p.addOutstanding(sent.tokens, -1)
	}
	clear(vm.unacknowledged[len(kept):])
	vm.unacknowledged = kept
}

func (p *Pool) replaceHeld(vm *holderRecord, reports []accountReport) {
	p.addOutstanding(vm.held, -1)
	clear(vm.held)
	for _, a := range reports {
		if a.held > 0 {
			vm.held[a.id] = a.held
		}
	}
	p.addOutstanding(vm.held, 1)
	for _, a := range reports {
		if a.returned > 0 {
			p.account(a.id).tokens += float64(a.returned)
		}
	}
}

func (p *Pool) addOutstanding(tokens map[uint32]int, sign int) {
	for id, n := range tokens {
		p.account(id).outstanding += sign * n
	}
}

func (p *Pool) account(id uint32) *pooled {
	a := p.accounts[id]
	if a == nil {
		// An account that nobody has used yet has its stored tokens.
		a = &pooled{}
		p.accounts[id] = a
	}
	return a
}

func (p *Pool) grantAll(now time.Time, vm *holderRecord, m *request) *reply {
	r := &reply{incarnation: m.incarnation, group: m.group, groups: m.groups, sequence: m.sequence}
	sent := sentGrants{sequence: m.sequence, tokens: make(map[uint32]int)}
	pledged := p.pledgedShare(now)
	for _, report := range m.accounts {
		limit, known := p.limit(report.id)
		if !known {
			r.grants = append(r.grants, grant{id: report.id, unknown: true})
			continue
		}
		a := p.account(report.id)
		a.askedAt = now
		allowed := p.bounds.allowanceFor(limit)
		p.mint(a, allowed, pledged)
		if report.needed+report.wanted == 0 {
			continue
		}
		if a.promisedRate != limit.Rate {
			p.dropPromises(a, report.id, limit.Rate)
		}
		needed := min(report.needed, int(a.tokens))
		surplus := int(a.tokens-p.reserved*allowed.stored*pledged) - needed
		advance := max(0, min(report.wanted, surplus-p.promisedBefore(now, vm, report.id)))
		a.tokens -= float64(needed + advance)
		g := grant{id: report.id, tokens: needed + advance}
		if needed < report.needed {
			g.wait = a.deny(now, allowed.rate*pledged)
		}
		if p.promises && report.held+needed+advance == 0 {
			g.wait = p.promise(now, vm, a, report.id, allowed.rate*max(pledged, minPledged))
		}
		if advance > 0 {
			delete(vm.promised, report.id)
			sent.tokens[report.id] = advance
		}
		r.grants = append(r.grants, g)
	}
	if len(sent.tokens) > 0 {
		p.addOutstanding(sent.tokens, 1)
		vm.unacknowledged = append(vm.unacknowledged, sent)
	}
	return r
}

// mint adds the entitlements received since the last call. The storage shrinks with the part of
// the fleet that sends its entitlements here: other coordinators have the rest.
func (p *Pool) mint(a *pooled, allowed allowance, pledged float64) {
	a.tokens += allowed.rate * (p.minted - a.mintedAt)
	a.mintedAt = p.minted
	a.tokens = min(a.tokens, max(0, allowed.stored*pledged-float64(a.outstanding)))
}

// deny returns when the VM should ask again: when there is a token for each VM that was denied one
// lately.
func (a *pooled) deny(now time.Time, rate float64) time.Duration {
	if now.Sub(a.deniedAt) >= minWait {
		a.denied, a.deniedAt = 0, now
	}
	a.denied++
	if rate <= 0 {
		return maxWait
	}
	seconds := (float64(a.denied) - a.tokens) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}

// promise returns the time until a VM that holds no token should ask again. VMs are promised one
// token after the other, so that each asks when there is one.
func (p *Pool) promise(now time.Time, vm *holderRecord, a *pooled, id uint32, rate float64) time.Duration {
	if at, promised := vm.promised[id]; promised && now.Sub(at) < claimTimeout {
		return max(at.Sub(now), minPromise)
	}
	if rate <= 0 {
		return maxPromise
	}
	// Entitlements come up to a report interval after their time.
	at := now.Add(time.Duration(max(0, 1-a.tokens)*float64(perToken(rate))) + min(reportInterval, perToken(rate))/2)
	if a.promisedUntil.After(at) {
		at = a.promisedUntil
	}
	if latest := now.Add(maxPromise); at.After(latest) {
		at = latest
	}
	a.promisedUntil = at.Add(perToken(rate))
	vm.promised[id] = at
	return max(at.Sub(now), minPromise)
}

// dropPromises forgets the promises for another rate.
func (p *Pool) dropPromises(a *pooled, id uint32, rate float64) {
	a.promisedUntil, a.promisedRate = time.Time{}, rate
	for _, vm := range p.vms {
		delete(vm.promised, id)
	}
}

// promisedBefore returns how many tokens are kept for other VMs: those that were promised to them
// before this VM's, or that are due, and that they have not asked for yet.
func (p *Pool) promisedBefore(now time.Time, vm *holderRecord, id uint32) (kept int) {
	if !p.promises {
		return 0
	}
	until, promised := vm.promised[id]
	if !promised {
		until = now
	}
	for _, other := range p.vms {
		at, ok := other.promised[id]
		if ok && other != vm && at.Before(until) && now.Sub(at) < claimTimeout {
			kept++
		}
	}
	return kept
}

// pledgedShare returns the part of the fleet that sends its entitlements to this pool.
func (p *Pool) pledgedShare(now time.Time) float64 {
	n := 0
	for _, vm := range p.vms {
		if vm.entitled && now.Sub(vm.reportedAt) < pledgeTimeout {
			n++
		}
	}
	return math.Min(1, float64(n)/float64(max(1, p.fleet())))
}

// sweep forgets VMs whose lease has ended.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	p.endTransfers(now)
	for name, vm := range p.vms {
		if now.Sub(vm.reportedAt) >= lease {
			p.drop(vm)
			delete(p.vms, name)
		}
	}
}

func (p *Pool) drop(vm *holderRecord) {
	if vm == nil {
		return
	}
	p.addOutstanding(vm.held, -1)
	for _, sent := range vm.unacknowledged {
		p.addOutstanding(sent.tokens, -1)
	}
}

// isIdle reports whether no VM reports to the pool.
func (p *Pool) isIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	return len(p.vms) == 0
}
