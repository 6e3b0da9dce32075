// Package quota limits rates of requests at all entry VMs together: those of client accounts, and
// those to targets that have stated a limit.
//
// Each VM is entitled to an equal part of every rate. It does not use that part itself
// but sends it, as time, to a coordinator, which turns the entitlements of all VMs into tokens and
// grants these to the VMs whose callers need them. Each region has one; see transfer.go. A token
// admits one request. Nothing else
// creates tokens, so the limit holds whatever is lost, cut off, paused or restarted, and whoever is
// taken for the coordinator: with two of them, each has the entitlements of the VMs that report to
// it. VMs without a coordinator use their own part.
//
// What the VMs must agree on is their number. It never shrinks before a VM that was cut off has
// stopped using its part; see Fleet.
//
// The accounts are divided into groups, each with a coordinator of its own. Messages are datagrams.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// vmsPerGroup is the number of VMs for each group of accounts.
	vmsPerGroup = 128
	// takeTimeout is how long a request waits for a coordinator. It covers a round trip between
	// regions.
	takeTimeout = 400 * time.Millisecond
	// shortageReportInterval replaces reportInterval while requests find no token and do not wait
	// for one.
	shortageReportInterval = 200 * time.Millisecond
	// minReportGap is the shortest time between two reports to a coordinator.
	minReportGap = 20 * time.Millisecond
	// minAskGap replaces minReportGap for a request that is refused unless a token comes soon.
	minAskGap = 5 * time.Millisecond
	// coordinatorTimeout is how long a report may stay unanswered, besides the round trip, before
	// another coordinator is used, and avoidDuration how long the first one is then avoided.
	coordinatorTimeout = 300 * time.Millisecond
	avoidDuration      = 3 * time.Second
)

// Coordinator is a VM that may coordinate a group.
type Coordinator struct {
	Name    string
	Address string
	RTT     time.Duration
}

// Options configure a Quota.
type Options struct {
	VM          string
	Incarnation uint64
	Bounds      Bounds
	Logger      *logrus.Entry
	// Limit returns the current limit with an ID, and false if there is none.
	Limit func(id uint32) (Limit, bool)
	// Fleet returns the number of VMs among which the rates are divided. It is 0 while that is
	// unknown, and at VMs that are entitled to no part.
	Fleet func() int
	// Immediate is set if requests do not wait for tokens: then none are kept for those that do.
	Immediate bool
	// Groups returns the number of groups; nil means one for each vmsPerGroup VMs of the fleet.
	Groups func() int
	// Coordinator returns the VM that coordinates a group in this region, without those to avoid,
	// and OtherCoordinators those of the other regions.
	Coordinator       func(group int, avoid func(name string) bool) Coordinator
	OtherCoordinators func(group int) []Coordinator
	// SendRequest sends a report to the address of a VM, whose HandleRequest gets it. It must not
	// block.
	SendRequest func(address string, payload []byte)
	// Leaving reports whether this VM is stopping.
	Leaving func() bool
	// Now is a clock that advances while the VM is suspended.
	Now func() time.Time
}

// Quota is safe for concurrent use.
type Quota struct {
	options Options
	holder  *Holder

	mu     sync.Mutex
	pools  map[poolKey]*Pool
	groups []groupState
	avoid  map[string]time.Time
}

// poolKey distinguishes the pools of VMs that divide the accounts differently.
type poolKey struct{ group, groups int }

// groupState is the state of the reports to one coordinator.
type groupState struct {
	coordinator Coordinator
	reportedAt  time.Time
}

// New returns a Quota without tokens.
func New(o Options) *Quota {
	if o.Groups == nil {
		o.Groups = func() int { return 1 + o.Fleet()/vmsPerGroup }
	}
	q := &Quota{options: o, pools: make(map[poolKey]*Pool), avoid: make(map[string]time.Time), groups: make([]groupState, 1)}
	q.holder = NewHolder(o.Bounds, xxhash.Sum64String(o.VM), o.Incarnation, 1, o.Fleet, o.Now())
	return q
}

// IDOf returns the ID of an account or a target in messages.
func IDOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// AccountLimit returns the limit of an account.
func AccountLimit(a *site.Account) Limit {
	return Limit{ID: IDOf(a.Name), Rate: a.Rate, Burst: a.Burst}
}

// Take decides on one request of an account. It may wait for a coordinator. For a request that is
// not admitted it returns when to try again.
func (q *Quota) Take(ctx context.Context, a *site.Account) (Verdict, time.Duration) {
	if a.Rate <= 0 {
		return Admitted, 0
	}
	limit := AccountLimit(a)
	verdict, retryAfter, w := q.holder.take(q.options.Now(), limit)
	if verdict != pending {
		return verdict, retryAfter
	}
	q.reportIfDue(int(limit.ID)%q.holder.groups(), minReportGap)
	timer := time.NewTimer(takeTimeout)
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return d.verdict, d.retryAfter
	case <-ctx.Done():
	case <-timer.C:
	}
	q.holder.cancel(q.options.Now(), limit.ID, w)
	return Undecided, unknownRetryAfter
}

// TakeNow is Take without waiting.
func (q *Quota) TakeNow(a *site.Account) bool {
	return a.Rate <= 0 || q.holder.takeNow(q.options.Now(), AccountLimit(a))
}

// Ready reports whether there is a token for a request under a limit.
func (q *Quota) Ready(l Limit) bool { return q.holder.ready(q.options.Now(), l) }

// Use takes a token for a request under a limit, without waiting. It returns false if there is
// none.
func (q *Quota) Use(l Limit) bool {
	q.Want(l)
	return q.holder.takeNow(q.options.Now(), l)
}

// Want records that there is a request under a limit, so that tokens are asked for.
func (q *Quota) Want(l Limit) { q.holder.want(q.options.Now(), l) }

// MayAsk reports whether this VM has no token under a limit and the coordinator may have one.
func (q *Quota) MayAsk(l Limit) bool { return q.holder.mayAsk(q.options.Now(), l) }

// Ask asks the coordinator at once if MayAsk. It reports whether that has answered, which another VM
// does later.
func (q *Quota) Ask(l Limit) (answered bool) {
	return q.MayAsk(l) && q.reportIfDue(int(l.ID)%q.holder.groups(), minAskGap)
}

// Held returns the number of tokens that this VM holds under a limit.
func (q *Quota) Held(l Limit) int { return q.holder.held(q.options.Now(), l) }

// Expect returns the time until this VM is expected to have a token under a limit, and the time
// between further ones; ok is false if the limit permits none.
func (q *Quota) Expect(l Limit) (wait, interval time.Duration, ok bool) {
	return q.holder.expect(q.options.Now(), l)
}

// Return restores the token of a request that did not run.
func (q *Quota) Return(a *site.Account) {
	if a.Rate > 0 {
		q.holder.giveBack(q.options.Now(), IDOf(a.Name))
	}
}

// Tick sends the reports that are due. It must be called several times in a reportInterval.
func (q *Quota) Tick() {
	now := q.options.Now()
	groups := q.options.Groups()
	q.holder.setGroups(now, groups)
	q.mu.Lock()
	if len(q.groups) != groups {
		q.groups = make([]groupState, groups)
	}
	pools := make(map[poolKey]*Pool, len(q.pools))
	for key, p := range q.pools {
		if p.isIdle(now) {
			delete(q.pools, key)
		} else {
			pools[key] = p
		}
	}
	q.mu.Unlock()
	for key, p := range pools {
		q.askOtherRegions(now, key, p)
	}
	for group := range groups {
		interval := reportInterval
		switch {
		case q.holder.hasWaiters(group):
			interval = minReportGap
		case q.holder.isShort(group):
			interval = shortageReportInterval
		}
		q.reportIfDue(group, interval)
	}
}

// askOtherRegions asks the coordinators of the other regions for tokens if a pool runs short.
func (q *Quota) askOtherRegions(now time.Time, key poolKey, p *Pool) {
	others := q.options.OtherCoordinators(key.group)
	for i, m := range p.ask(now, q.holder.vm, q.holder.incarnation, key, len(others)) {
		q.options.SendRequest(others[i].Address, m.encode())
	}
}

// reportIfDue sends a report to the coordinator of a group if the last one is old enough. It reports
// whether that has answered, as it is this VM.
func (q *Quota) reportIfDue(group int, interval time.Duration) (answered bool) {
	now := q.options.Now()
	q.mu.Lock()
	if group >= len(q.groups) || now.Sub(q.groups[group].reportedAt) < interval {
		q.mu.Unlock()
		return false
	}
	q.groups[group].reportedAt = now
	to := q.coordinator(now, group)
	q.mu.Unlock()
	m := q.holder.report(now, group)
	if m == nil {
		return false
	}
	if to.Name == q.options.VM {
		if r := q.handle(now, m); r != nil {
			q.holder.apply(now, group, r)
		}
		return true
	}
	q.options.SendRequest(to.Address, m.encode())
	return false
}

// coordinator returns the coordinator of a group and replaces one that does not answer. It
// requires the lock.
func (q *Quota) coordinator(now time.Time, group int) Coordinator {
	last := q.groups[group].coordinator
	if since, waits := q.holder.unansweredSince(group); waits && last.Name != "" && now.Sub(since) >= coordinatorTimeout+last.RTT {
		q.avoid[last.Name] = now.Add(avoidDuration)
		q.options.Logger.WithFields(logrus.Fields{"vm": last.Name, "group": group, "ms": now.Sub(since).Milliseconds()}).
			Warn("quota: coordinator does not answer")
	}
	next := q.options.Coordinator(group, func(name string) bool { return now.Before(q.avoid[name]) })
	if next.Name != last.Name {
		q.holder.forgetReports(group)
		q.options.Logger.WithFields(logrus.Fields{"vm": next.Name, "group": group, "before": last.Name}).Info("quota: coordinator changed")
	}
	q.groups[group].coordinator = next
	return next
}

// HandleRequest processes a report of another VM and returns the reply, nil for none.
func (q *Quota) HandleRequest(from string, payload []byte) []byte {
	m, err := decodeRequest(payload)
	if err != nil {
		q.options.Logger.WithError(err).WithField("from", from).Warn("quota: invalid report")
		return nil
	}
	r := q.handle(q.options.Now(), m)
	if r == nil {
		return nil
	}
	return r.encode()
}

func (q *Quota) handle(now time.Time, m *request) *reply {
	p := q.pool(poolKey{m.group, m.groups})
	if m.transfer {
		return p.give(now, m)
	}
	r := p.handle(now, m)
	if r != nil {
		r.leaving = q.options.Leaving()
	}
	return r
}

func (q *Quota) pool(key poolKey) *Pool {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[key]
	if p == nil {
		p = NewPool(q.options.Bounds, q.options.Limit, q.options.Fleet)
		if q.options.Immediate {
			p.reserved, p.promises = 0, true
		}
		q.pools[key] = p
	}
	return p
}

// HandleReply applies the answer to a report.
func (q *Quota) HandleReply(from string, payload []byte) {
	r, err := decodeReply(payload)
	if err != nil {
		q.options.Logger.WithError(err).WithField("from", from).Warn("quota: invalid reply")
		return
	}
	now := q.options.Now()
	if r.transfer {
		if r.incarnation == q.holder.incarnation {
			q.pool(poolKey{r.group, r.groups}).take(now, r)
		}
		return
	}
	if r.groups != q.holder.groups() || r.group >= r.groups {
		return
	}
	q.holder.apply(now, r.group, r)
	if r.leaving {
		q.avoidLeaving(now, from, r.group)
	}
	if q.holder.hasWaiters(r.group) {
		q.reportIfDue(r.group, minReportGap)
	}
}

func (q *Quota) avoidLeaving(now time.Time, from string, group int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if group < len(q.groups) && q.groups[group].coordinator.Address == from {
		q.avoid[q.groups[group].coordinator.Name] = now.Add(avoidDuration)
	}
}
