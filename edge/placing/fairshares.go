package placing

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/fairshare"
)

// accountWork is what the order of a queue needs of the work of accounts, see fairshare.Table.
type accountWork interface {
	Start(now time.Time, key fairshare.Key, name string, expected time.Duration)
	Correct(now time.Time, key fairshare.Key, difference time.Duration)
	Wait(now time.Time, key fairshare.Key, name string, service time.Duration)
	Work(now time.Time, key fairshare.Key) time.Duration
	BeginPass()
	NextTag(now time.Time, key fairshare.Key, service time.Duration) time.Duration
}

// fairKey returns the key of a request's work. Requests without an account count as those of one account
// where they share a queue with requests that have one.
func fairKey(r *Request, region string) fairshare.Key {
	return fairshare.Key{Service: r.Service, Region: region, Account: fairshare.AccountOf(r.Account)}
}

// isFair reports whether the work of accounts decides on the order of a request and those that wait.
func (q *waitQueue) isFair(r *Request) bool {
	return q.work != nil && (r.Account != "" || q.hasAccounts())
}

func (q *waitQueue) hasAccounts() bool {
	return q.work != nil && slices.ContainsFunc(q.waiting, func(w *Waiter) bool { return w.request.Account != "" })
}

// order restores the serving order, which changes with the time and with the work of accounts. Between
// two orders the tags of the requests stay the same, so that the queue remains sorted by them.
func (q *waitQueue) order(now time.Time) {
	if !q.hasAccounts() {
		q.clearTags()
		q.demoteLate(now)
		return
	}
	q.sortByWork(now)
}

// sortByWork sorts the queue by new tags. The requests of an account get theirs in the order of their objectives.
func (q *waitQueue) sortByWork(now time.Time) {
	for _, w := range q.waiting {
		w.late = w.request.missesObjective(now)
	}
	slices.SortStableFunc(q.waiting, (*Waiter).compareUrgency)
	q.work.BeginPass()
	for _, w := range q.waiting {
		w.tag = q.work.NextTag(now, w.key, w.request.serviceTime())
	}
	slices.SortStableFunc(q.waiting, (*Waiter).compare)
}

// clearTags removes the tags of requests that wait without any of a client account, and sorts them without.
// Others that come in would otherwise go before them.
func (q *waitQueue) clearTags() {
	if q.work == nil {
		return
	}
	tagged := false
	for _, w := range q.waiting {
		tagged = tagged || w.tag != 0
		w.tag = 0
	}
	if tagged {
		slices.SortStableFunc(q.waiting, (*Waiter).compareUrgency)
	}
}

// insert adds a request in the serving order. Requests of its account behind it are served after it, so that
// all are ordered anew if there are any.
func (q *waitQueue) insert(w *Waiter, now time.Time) {
	w.late = w.request.missesObjective(now)
	w.tag = q.tagOf(now, w)
	behind := func(other *Waiter) bool { return other.key == w.key && w.compareUrgency(other) < 0 }
	if !q.hasAccounts() || slices.ContainsFunc(q.waiting, behind) {
		q.waiting = append(q.waiting, w)
		slices.SortStableFunc(q.waiting, (*Waiter).compareUrgency)
		q.order(now)
		return
	}
	i := len(q.waiting)
	for i > 0 && w.compare(q.waiting[i-1]) < 0 {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, w)
}

// tagOf returns the tag that a new request gets: the work of its account and the service time of those of
// its account that wait before it.
func (q *waitQueue) tagOf(now time.Time, w *Waiter) time.Duration {
	key := fairKey(w.request, w.region)
	tag := q.work.Work(now, key)
	for _, other := range q.waiting {
		if other.key == key && other.compareUrgency(w) <= 0 {
			tag += other.request.serviceTime()
		}
	}
	return tag
}

// beginWaiting records that a request finds no free target.
func (q *waitQueue) beginWaiting(now time.Time, r *Request, region string) {
	if q.isFair(r) {
		q.work.Wait(now, fairKey(r, region), r.Account, r.serviceTime())
	}
}

// yieldsPlace reports whether a request leaves the queues of full targets to waiting requests of accounts with
// less work.
func (q *waitQueue) yieldsPlace(now time.Time, r *Request, region string) bool {
	if r.Account == "" || !q.hasAccounts() {
		return false
	}
	w := Waiter{request: r, region: region, key: fairKey(r, region), late: r.missesObjective(now)}
	w.tag = q.work.Work(now, w.key)
	return slices.ContainsFunc(q.waiting, func(other *Waiter) bool {
		return !other.isDecided && other.region == region && other.key != w.key && other.compare(&w) < 0
	})
}

// startWork counts a request that is sent to a target while others wait.
func (q *waitQueue) startWork(now time.Time, r *Request, d *Decision, expected time.Duration) {
	if len(q.waiting) == 0 || !q.isFair(r) {
		return
	}
	key := fairKey(r, d.Region)
	d.account, d.charged = key.Account, expected
	q.work.Start(now, key, r.Account, expected)
}

// endWork corrects the work of a request that has ended; took excludes the network.
func (q *waitQueue) endWork(now time.Time, d *Decision, outcome Outcome, took time.Duration) {
	if d.charged == 0 || q.work == nil {
		return
	}
	if outcome == Shed || outcome == Unreachable {
		took = 0
	}
	key := fairshare.Key{Service: d.Target.Service, Region: d.Region, Account: d.account}
	q.work.Correct(now, key, max(0, took)-d.charged)
}

// recordAccountWork records the work of the account of a refused request, less the least work of the other
// accounts that wait for the same region.
func (q *waitQueue) recordAccountWork(now time.Time, r *Request, region string, d *Decision) {
	if q.work == nil || r.Account == "" {
		return
	}
	d.HasAccountWork = true
	key := fairKey(r, region)
	least, found := time.Duration(0), false
	for _, w := range q.waiting {
		if w.isDecided || w.region != region || w.request.Account == "" || w.key == key {
			continue
		}
		if work := q.work.Work(now, w.key); !found || work < least {
			least, found = work, true
		}
	}
	if found {
		d.AccountWork = q.work.Work(now, key) - least
	}
}

// isOvertaken reports whether one of the requests before a waiting one is served before it only because its
// account has less work.
func (w *Waiter) isOvertaken(before []*Waiter) bool {
	return slices.ContainsFunc(before, func(other *Waiter) bool { return other.region == w.region && w.compareUrgency(other) < 0 })
}

// AccountWork returns the work that this VM reports to others, by fairshare.Encode, nil if there is none.
func (b *Balancer) AccountWork(now time.Time) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fairshare.Encode(b.work.Report(now))
}

// AccountWorkSums is as AccountWork for the sums over all VMs of the region, or over all regions.
func (b *Balancer) AccountWorkSums(now time.Time, allRegions bool) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fairshare.Encode(b.work.Sums(now, allRegions))
}

// AccountWorkReport is the work that another VM reports.
type AccountWorkReport struct {
	// From is the VM, or the group of VMs, that the work is of.
	From string
	// Local is set for a VM of this region, Totals if the work is that of all VMs, this one included.
	Local, Totals bool
	Work          []byte
}

// SetAccountWork takes over what another VM reports. A report that cannot be decoded changes nothing.
func (b *Balancer) SetAccountWork(now time.Time, r AccountWorkReport) error {
	if !b.options.Policy.FairShares {
		return nil
	}
	parts, err := fairshare.Decode(r.Work)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Totals {
		b.work.SetTotals(now, r.From, parts)
	} else {
		b.work.SetReport(now, r.From, parts, r.Local)
	}
	return nil
}

// KnownAccountWork returns the work of an account by which its requests are ordered: that of this VM and what others
// have reported.
func (b *Balancer) KnownAccountWork(now time.Time, key fairshare.Key) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work.Known(now, key)
}

// LargestAccounts returns the work of the accounts that this VM reports, and how many waiting requests it has
// refused since their accounts had more work than others.
func (b *Balancer) LargestAccounts(now time.Time) (accounts []fairshare.Named, overtaken int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work.Largest(now), b.overtaken
}
