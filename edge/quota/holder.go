package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// aloneTimeout is how long a VM waits for a coordinator before it uses its own entitlement.
	aloneTimeout = 1200 * time.Millisecond
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = time.Second
	// advance is the time for which a VM holds tokens in advance. It exceeds reportInterval.
	advance = 750 * time.Millisecond
	// maxLost is how many reports may stay unanswered because datagrams were lost.
	maxLost = 2
	// idleTimeout is how long a VM holds a token for an account without requests.
	idleTimeout = time.Second
	// unknownRetryAfter is the Retry-After of a VM that reaches no coordinator: callers soon find
	// another VM.
	unknownRetryAfter = 100 * time.Millisecond
)

// Verdict is the decision on one request.
type Verdict int

// Verdicts.
const (
	// Admitted: the request may run.
	Admitted Verdict = iota
	// Exceeded: the account has used up its quota.
	Exceeded
	// Undecided: no coordinator has answered, and this VM's own share is used up.
	Undecided
	// pending: a coordinator is asked, the waiter gets the decision.
	pending
)

// decision is the result of Holder.take for a request that has waited.
type decision struct {
	verdict    Verdict
	retryAfter time.Duration
}

// waiter is a request that waits for a token.
type waiter struct{ decided chan decision }

// Holder is a VM's side: it holds tokens and decides on requests. It does no I/O and is safe for
// concurrent use.
type Holder struct {
	bounds          Bounds
	vm, incarnation uint64
	// fleet returns the number of VMs among which the rates are divided, 0 while it is not known.
	fleet func() int

	mu       sync.Mutex
	links    []*link
	holdings map[uint32]*holding
}

// link is the connection to the coordinator of one group of accounts.
type link struct {
	sequence, received uint64
	// reported is when the reports with the newest sequence numbers were sent.
	reported map[uint64]time.Time
	// accruedAt is up to when this VM's entitlement was sent.
	accruedAt time.Time
	// leased is set while tokens may be held, until leaseEnd.
	leased   bool
	leaseEnd time.Time
	// answeredAt is when the coordinator answered last.
	answeredAt time.Time
	// alone is set while no coordinator answers; own entitlements are then used here.
	alone bool
}

// holding is a VM's state of one account.
type holding struct {
	limit  Limit
	tokens int
	// demand is the measured number of requests per second.
	demand   float64
	demandAt time.Time
	// exhaustedUntil is when to ask the coordinator again.
	exhaustedUntil time.Time
	// interval is the expected time between two tokens of this VM, 0 while none was denied. grantedAt
	// is when the last ones came, denied whether the coordinator has had none since.
	interval  time.Duration
	grantedAt time.Time
	denied    bool
	// short is set if a request that did not wait has found no token since the last report.
	short bool
	// own are the tokens of this VM's own entitlement while it is alone, up to ownAt.
	own     float64
	ownAt   time.Time
	waiters []*waiter
}

// NewHolder returns a holder without tokens for accounts in a number of groups.
func NewHolder(b Bounds, vm, incarnation uint64, groups int, fleet func() int, now time.Time) *Holder {
	return &Holder{
		bounds: b, vm: vm, incarnation: incarnation, fleet: fleet, links: newLinks(groups, now), holdings: make(map[uint32]*holding),
	}
}

func (h *Holder) groupOf(id uint32) int { return int(id) % len(h.links) }

// groups returns the number of groups.
func (h *Holder) groups() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// setGroups changes the number of groups. Tokens are lost, as other coordinators follow.
func (h *Holder) setGroups(now time.Time, groups int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if groups == len(h.links) {
		return
	}
	for _, a := range h.holdings {
		a.tokens, a.own = 0, 0
	}
	h.links = newLinks(groups, now)
}

func newLinks(groups int, now time.Time) (links []*link) {
	for range groups {
		links = append(links, &link{reported: make(map[uint64]time.Time), accruedAt: now, answeredAt: now})
	}
	return links
}

// unansweredSince returns when the oldest report without an answer was sent, and false if
// there are no more than maxLost: datagrams may be lost.
func (h *Holder) unansweredSince(group int) (oldest time.Time, found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if group >= len(h.links) {
		return oldest, false
	}
	reported := h.links[group].reported
	for _, at := range reported {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, len(reported) > maxLost
}

// forgetReports drops the reports without an answer when the coordinator changes.
func (h *Holder) forgetReports(group int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if group < len(h.links) {
		clear(h.links[group].reported)
	}
}

// hasWaiters reports whether requests wait for a reply.
func (h *Holder) hasWaiters(group int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := false
	if group >= len(h.links) {
		return false
	}
	h.forEach(h.links[group], func(a *holding) { found = found || len(a.waiters) > 0 })
	return found
}

// take decides on one request. If the verdict is pending, the returned waiter gets the decision
// after the next reply.
func (h *Holder) take(now time.Time, limit Limit) (Verdict, time.Duration, *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, l := h.holding(now, limit)
	a.addDemand(now)
	if h.takeToken(now, a, l) {
		return Admitted, 0, nil
	}
	switch {
	case l.alone:
		return Undecided, unknownRetryAfter, nil
	case now.Before(a.exhaustedUntil):
		return Exceeded, max(minWait, a.exhaustedUntil.Sub(now)), nil
	}
	w := &waiter{decided: make(chan decision, 1)}
	a.waiters = append(a.waiters, w)
	return pending, 0, w
}

// takeNow is take for a request that does not wait.
func (h *Holder) takeNow(now time.Time, limit Limit) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, l := h.holding(now, limit)
	return h.takeToken(now, a, l)
}

// ready reports whether takeNow would take a token.
func (h *Holder) ready(now time.Time, limit Limit) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, l := h.holding(now, limit)
	if l.alone {
		h.accrueOwn(now, a)
	}
	return a.tokens > 0 || l.alone && a.own >= 1
}

// want counts one request under a limit as demand.
func (h *Holder) want(now time.Time, limit Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, _ := h.holding(now, limit)
	a.addDemand(now)
	a.short = a.tokens == 0
}

// isShort reports whether requests that do not wait have found no token since the last report.
func (h *Holder) isShort(group int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := false
	if group < len(h.links) {
		h.forEach(h.links[group], func(a *holding) { found = found || a.short })
	}
	return found
}

func (h *Holder) holding(now time.Time, limit Limit) (*holding, *link) {
	a := h.holdings[limit.ID]
	if a == nil {
		a = &holding{demandAt: now, ownAt: now}
		h.holdings[limit.ID] = a
	}
	if a.limit.Rate != limit.Rate {
		// What was learnt of the old rate does not hold.
		a.exhaustedUntil, a.interval, a.denied = time.Time{}, 0, false
	}
	a.limit = limit
	l := h.links[h.groupOf(limit.ID)]
	h.checkLink(now, l)
	return a, l
}

func (h *Holder) takeToken(now time.Time, a *holding, l *link) bool {
	if a.tokens > 0 {
		a.tokens--
		return true
	}
	if !l.alone {
		return false
	}
	h.accrueOwn(now, a)
	if a.own < 1 {
		return false
	}
	a.own--
	return true
}

// accrueOwn adds this VM's own entitlement. What it may store is its part of what the fleet may.
func (h *Holder) accrueOwn(now time.Time, a *holding) {
	n := h.fleet()
	if n == 0 {
		a.ownAt = now
		return
	}
	allowed := h.bounds.allowanceFor(a.limit)
	stored := (allowed.stored + allowed.rate*maxUnsent.Seconds()) / float64(n)
	a.own = min(stored, a.own+allowed.rate/float64(n)*max(0, now.Sub(a.ownAt).Seconds()))
	a.ownAt = now
}

// checkLink ends the lease and the wait for the coordinator when they are due.
func (h *Holder) checkLink(now time.Time, l *link) {
	if !l.alone && now.Sub(l.answeredAt) >= aloneTimeout {
		l.alone = true
		h.forEach(l, func(a *holding) {
			a.own, a.ownAt = 0, now
			a.decideAll(decision{Undecided, unknownRetryAfter})
		})
	}
	if l.leased && !now.Before(l.leaseEnd) {
		l.leased = false
		h.forEach(l, func(a *holding) { a.tokens = 0 })
	}
}

func (h *Holder) forEach(l *link, do func(*holding)) {
	for id, a := range h.holdings {
		if h.links[h.groupOf(id)] == l {
			do(a)
		}
	}
}

func (a *holding) decideAll(d decision) {
	for _, w := range a.waiters {
		w.decided <- d
	}
	a.waiters = nil
}

// cancel removes a waiter. If it was admitted meanwhile, its token is restored.
func (h *Holder) cancel(now time.Time, id uint32, w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.holdings[id]
	if a == nil {
		return
	}
	h.checkLink(now, h.links[h.groupOf(id)])
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
	if d := <-w.decided; d.verdict == Admitted {
		h.restore(a, id)
	}
}

// giveBack restores the token of a request that did not run.
func (h *Holder) giveBack(now time.Time, id uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.holdings[id]
	if a == nil {
		return
	}
	h.checkLink(now, h.links[h.groupOf(id)])
	h.restore(a, id)
}

// restore returns a token to an account. Without a lease the token is lost.
func (h *Holder) restore(a *holding, id uint32) {
	if h.links[h.groupOf(id)].leased {
		a.tokens++
	}
}

func (a *holding) addDemand(now time.Time) {
	a.decayDemand(now)
	a.demand += 1 / demandTimeConstant.Seconds()
}

func (a *holding) decayDemand(now time.Time) {
	if dt := now.Sub(a.demandAt); dt > 0 {
		a.demand *= math.Exp(-dt.Seconds() / demandTimeConstant.Seconds())
		a.demandAt = now
	}
}

// target returns how many tokens the VM wants to hold in advance.
func (a *holding) target(now time.Time) int {
	a.decayDemand(now)
	if a.demand*demandTimeConstant.Seconds() < math.Exp(-idleTimeout.Seconds()/demandTimeConstant.Seconds()) {
		return 0
	}
	return int(math.Ceil(a.demand * advance.Seconds()))
}

// report returns the next report to the coordinator of a group, nil if the number of groups has
// become smaller.
func (h *Holder) report(now time.Time, group int) *request {
	h.mu.Lock()
	defer h.mu.Unlock()
	if group >= len(h.links) {
		return nil
	}
	l := h.links[group]
	h.checkLink(now, l)
	l.sequence++
	l.reported[l.sequence] = now
	m := &request{
		vm: h.vm, incarnation: h.incarnation, group: group, groups: len(h.links),
		sequence: l.sequence, received: l.received, entitlement: h.accrue(now, l),
	}
	for id, a := range h.holdings {
		if h.groupOf(id) != group || len(m.accounts) >= maxAccountReports {
			continue
		}
		if r, ok := a.report(now, id); ok {
			m.accounts = append(m.accounts, r)
		} else if len(a.waiters) == 0 {
			delete(h.holdings, id)
		}
	}
	return m
}

// accrue returns this VM's entitlement since the last call, in seconds.
func (h *Holder) accrue(now time.Time, l *link) float64 {
	elapsed := now.Sub(l.accruedAt)
	l.accruedAt = now
	n := h.fleet()
	if n == 0 || l.alone {
		return 0
	}
	return min(maxUnsent, max(0, elapsed)).Seconds() / float64(n)
}

// report returns the state of an account and gives surplus tokens back. It returns false if there
// is nothing to report.
func (a *holding) report(now time.Time, id uint32) (accountReport, bool) {
	target := a.target(now)
	r := accountReport{id: id, needed: len(a.waiters), returned: max(0, a.tokens-2*target)}
	a.tokens -= r.returned
	a.short = false
	r.held, r.wanted = a.tokens, max(0, target-a.tokens)
	return r, r.held+r.needed+r.wanted+r.returned > 0 || a.own > 0
}

// apply processes a reply.
func (h *Holder) apply(now time.Time, group int, m *reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if group >= len(h.links) {
		return
	}
	l := h.links[group]
	sentAt, ok := l.reported[m.sequence]
	if m.incarnation != h.incarnation || m.sequence <= l.received || !ok {
		return
	}
	h.checkLink(now, l)
	for sequence := range l.reported {
		if sequence <= m.sequence {
			delete(l.reported, sequence)
		}
	}
	l.received, l.answeredAt = m.sequence, now
	if l.alone {
		l.alone, l.accruedAt = false, now
		h.forEach(l, func(a *holding) { a.own = 0 })
	}
	if end := sentAt.Add(lease); end.After(l.leaseEnd) {
		l.leaseEnd = end
	}
	if l.leased = now.Before(l.leaseEnd); !l.leased {
		return
	}
	for _, g := range m.grants {
		if a := h.holdings[g.id]; a != nil {
			a.apply(now, g)
		}
	}
}

func (a *holding) apply(now time.Time, g grant) {
	a.tokens += g.tokens
	for a.tokens > 0 && len(a.waiters) > 0 {
		a.tokens--
		a.waiters[0].decided <- decision{verdict: Admitted}
		a.waiters = a.waiters[1:]
	}
	switch {
	case g.unknown:
		a.decideAll(decision{Undecided, unknownRetryAfter})
	case g.wait > 0 && a.tokens == 0:
		a.exhaustedUntil, a.denied = now.Add(g.wait), true
		a.decideAll(decision{Exceeded, g.wait})
	case g.tokens > 0:
		a.measureInterval(now, g.tokens)
	}
}
