package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/fairshare"
)

const (
	// fairAccounts is the number of accounts of the replay. The first requests busyLoad times its share of
	// the region, each of the others otherLoad times theirs.
	fairAccounts = 10
	busyLoad     = 10
	otherLoad    = 0.8
	busyAccount  = "account-0"
)

// fairReplay plays requests of client accounts of one rank in a region that cannot serve all of them.
type fairReplay struct {
	*simulation
	// keys is the number of affinity keys of each account, 0 for none.
	keys int
	// vmOf returns the VM at which a request of an account arrives.
	vmOf func(account int) int
	// requested, served and inObjective count requests by whether their account is the busy one. Served ones
	// have got an answer before their deadline.
	requested, served, inObjective map[bool]int
}

// newFairReplay returns a replay of VMs that exchange the work of accounts if exchanged is set.
func newFairReplay(t *testing.T, policy Policy, exchanged bool) *fairReplay {
	sim := newSimulationFrom(t, simulationConfig{
		regions: map[string]int{"a": 6}, vms: 8, slots: 4, cold: 400 * time.Millisecond, warmKeys: 1000,
		objective: 600 * time.Millisecond, deadline: 3 * time.Second, policy: policy,
	})
	sim.pollInterval = 5 * time.Millisecond
	p := &fairReplay{simulation: sim, requested: make(map[bool]int), served: make(map[bool]int), inObjective: make(map[bool]int)}
	p.vmOf = func(int) int { return p.random.IntN(len(p.balancers)) }
	p.answered = func(r *Request) {
		busy := r.Account == busyAccount
		p.served[busy]++
		if !p.now.After(r.Objective) {
			p.inObjective[busy]++
		}
	}
	if exchanged {
		sim.exchanged = p.exchangeWork(400 * time.Millisecond)
	}
	return p
}

// exchangeWork returns a function that passes the work of all VMs to all others at an interval.
func (p *fairReplay) exchangeWork(interval time.Duration) func() {
	last := p.now
	return func() {
		if p.now.Sub(last) < interval {
			return
		}
		last = p.now
		for i, from := range p.balancers {
			report := AccountWorkReport{From: from.options.VM, Local: true, Work: from.AccountWork(p.now)}
			for j, to := range p.balancers {
				if i == j {
					continue
				}
				if err := to.SetAccountWork(p.now, report); err != nil {
					p.t.Fatal(err)
				}
			}
		}
	}
}

// play lets requests of all accounts arrive for a time, and then the last ones end.
func (p *fairReplay) play(d time.Duration) {
	share := 24 / p.warm.Seconds() / fairAccounts
	end := p.now.Add(d)
	for account := range fairAccounts {
		perSecond := otherLoad * share
		if account == 0 {
			perSecond = busyLoad * share
		}
		var next func()
		next = func() {
			if p.now.After(end) {
				return
			}
			p.send(account)
			p.schedule(time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		next()
	}
	p.run(d + p.deadline)
}

func (p *fairReplay) send(account int) {
	vm := p.vmOf(account)
	r := &Request{
		Service: serviceName, Account: fmt.Sprint("account-", account),
		Objective: p.now.Add(p.objective), Deadline: p.now.Add(p.deadline),
	}
	if p.keys > 0 {
		r.Key, r.HasKey = HashOf(fmt.Sprint("key-", account, "-", p.random.IntN(p.keys))), true
		vm = p.ownerOf(vm, r.Key)
	}
	r.Class = p.classes[vm]
	p.requested[r.Account == busyAccount]++
	p.place(vm, r)
}

// servedShares returns the fractions of the requests of the busy account and of the others that were served.
func (p *fairReplay) servedShares() (busy, others float64) {
	share := func(counts map[bool]int, busy bool) float64 {
		return float64(counts[busy]) / float64(p.requested[busy])
	}
	p.t.Logf("busy account: %.3f served, %.3f within objective, of %d; others: %.3f, %.3f of %d; %d cold runs",
		share(p.served, true), share(p.inObjective, true), p.requested[true],
		share(p.served, false), share(p.inObjective, false), p.requested[false], p.result.coldRuns)
	return share(p.served, true), share(p.served, false)
}

// roundRobin orders the requests of one VM by deficit round robin over the accounts that wait there, for
// comparison. The tag of a request is the round in which the deficit of its account covers it.
type roundRobin struct {
	quantum time.Duration
	round   time.Duration
	// used is the service time of an account up to its last started request, in rounds of the quantum;
	// one that comes back begins in the present round.
	used, queued map[fairshare.Key]time.Duration
}

func newRoundRobin(quantum time.Duration) *roundRobin {
	return &roundRobin{quantum: quantum, used: make(map[fairshare.Key]time.Duration), queued: make(map[fairshare.Key]time.Duration)}
}

func (r *roundRobin) Start(_ time.Time, key fairshare.Key, _ string, expected time.Duration) {
	r.round = max(r.round, r.used[key]/r.quantum*r.quantum)
	r.used[key] = max(r.used[key], r.round) + expected
}

func (r *roundRobin) Correct(_ time.Time, key fairshare.Key, difference time.Duration) {
	r.used[key] += difference
}
func (r *roundRobin) Wait(time.Time, fairshare.Key, string, time.Duration) {}

func (r *roundRobin) Work(_ time.Time, key fairshare.Key) time.Duration {
	return max(r.used[key], r.round) / r.quantum * r.quantum
}
func (r *roundRobin) BeginPass() { clear(r.queued) }

func (r *roundRobin) NextTag(_ time.Time, key fairshare.Key, service time.Duration) time.Duration {
	tag := (max(r.used[key], r.round) + r.queued[key]) / r.quantum * r.quantum
	r.queued[key] += service
	return tag
}

// useRoundRobin orders the queues of all VMs by deficit round robin.
func (p *fairReplay) useRoundRobin() {
	for _, b := range p.balancers {
		for _, s := range b.services {
			s.queue.work = newRoundRobin(p.warm)
		}
	}
}

// uneven lets each account arrive at two of the VMs, the busy one at all.
func (p *fairReplay) uneven() {
	p.vmOf = func(account int) int {
		if account == 0 {
			return p.random.IntN(len(p.balancers))
		}
		return (account + p.random.IntN(2)) % len(p.balancers)
	}
}

// An account that requests ten times its share of a region must not keep the others, which request less
// than theirs, from being served. The keys of an account with affinity keys have targets of their own, of which
// some are full while others have free slots.
func TestFairSharesUnderOverload(t *testing.T) {
	fair := Policy{FairShares: true}
	for _, c := range []struct {
		name                          string
		policy                        Policy
		exchanged, roundRobin, uneven bool
		keys                          int
		// least and most bound the fraction of the others' requests that are served.
		least, most float64
	}{
		{name: "order of arrival", most: 0.9},
		{name: "round robin of each VM", policy: fair, roundRobin: true, most: 1},
		{name: "work at each VM", policy: fair, most: 1},
		{name: "work at all VMs", policy: fair, exchanged: true, least: 0.9, most: 1},
		{name: "order of arrival with uneven arrivals", uneven: true, most: 0.9},
		{name: "round robin of each VM with uneven arrivals", policy: fair, roundRobin: true, uneven: true, most: 1},
		{name: "work at each VM with uneven arrivals", policy: fair, uneven: true, most: 1},
		{name: "work at all VMs with uneven arrivals", policy: fair, exchanged: true, uneven: true, least: 0.9, most: 1},
		{name: "order of arrival with 30 keys", keys: 30, most: 0.9},
		{name: "work at all VMs with 30 keys", policy: fair, exchanged: true, keys: 30, least: 0.9, most: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newFairReplay(t, c.policy, c.exchanged)
			p.keys = c.keys
			if c.roundRobin {
				p.useRoundRobin()
			}
			if c.uneven {
				p.uneven()
			}
			// At the start all targets are cold, and service times are not known.
			p.play(5 * time.Second)
			clear(p.requested)
			clear(p.served)
			clear(p.inObjective)
			p.play(10 * time.Second)
			if _, others := p.servedShares(); others < c.least || others > c.most {
				t.Errorf("%.3f of the other accounts' requests are served, want %.2f to %.2f", others, c.least, c.most)
			}
		})
	}
}

// Each half of a fleet that is partitioned must share out the capacity that it has, by the work that its own
// VMs report. A VM that fails is one whose reports end, as those of the other half do.
func TestFairSharesInPartition(t *testing.T) {
	p := newFairReplay(t, Policy{FairShares: true}, false)
	last := p.now
	p.exchanged = func() {
		if p.now.Sub(last) < 400*time.Millisecond {
			return
		}
		last = p.now
		for i, from := range p.balancers {
			report := AccountWorkReport{From: from.options.VM, Local: true, Work: from.AccountWork(p.now)}
			for j, to := range p.balancers {
				if i != j && i%2 == j%2 {
					if err := to.SetAccountWork(p.now, report); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
	p.play(5 * time.Second)
	clear(p.requested)
	clear(p.served)
	clear(p.inObjective)
	p.play(10 * time.Second)
	if _, others := p.servedShares(); others < 0.9 {
		t.Errorf("%.3f of the other accounts' requests are served", others)
	}
}

// newFairBalancer returns a balancer with fair shares whose targets are full.
func newFairBalancer(now time.Time) (*Balancer, *Class, Decision) {
	b := New(Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		RTT: func(string) time.Duration { return time.Millisecond }, Policy: Policy{FairShares: true},
	})
	b.SetTargets(now, services(0), []TargetSpec{listing("t1"), listing("t2")}, nil)
	class := NewClass(100 * time.Millisecond)
	d, _ := b.Place(now, accountRequest(now, class, "x"))
	for range 2*(2+targetQueue) - 1 {
		b.Place(now, accountRequest(now, class, "x"))
	}
	return b, class, d
}

func accountRequest(now time.Time, class *Class, account string) *Request {
	return &Request{Service: serviceName, Class: class, Account: account, Objective: now.Add(5 * time.Second), Deadline: now.Add(9 * time.Second)}
}

// queueOf queues a request of each account, and returns the accounts in serving order.
func queueOf(t *testing.T, now time.Time, b *Balancer, class *Class, accounts ...string) (order []string) {
	t.Helper()
	for i, account := range accounts {
		r := accountRequest(now, class, account)
		r.Objective = r.Objective.Add(time.Duration(i) * time.Millisecond)
		if _, w := b.Place(now, r); w == nil {
			t.Fatalf("request %d is not queued", i)
		}
	}
	for _, w := range b.services[serviceName].queue.waiting {
		order = append(order, w.request.Account)
	}
	return order
}

// workOf encodes the work of one account in region a.
func workOf(account string, work time.Duration) []byte {
	return fairshare.Encode([]fairshare.Part{{Key: fairshare.Key{Service: serviceName, Region: "a", Account: fairshare.AccountOf(account)}, Work: work}})
}

// A VM that starts must order by its own counts, and by those of the others from their first report on. A
// report must not count twice, a damaged one must change nothing, and the work of a VM that fails must be
// dropped 2 s after its last report.
func TestWorkOfOtherVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	check := func(step string, b *Balancer, now time.Time, class *Class, want string) {
		t.Helper()
		if got := fmt.Sprint(queueOf(t, now, b, class, "y", "x", "x", "y")); got != want {
			t.Errorf("%s: order %s, want %s", step, got, want)
		}
	}
	started, class, _ := newFairBalancer(now)
	check("without reports", started, now, class, "[y x x y]")

	informed, class, _ := newFairBalancer(now)
	for range 2 {
		if err := informed.SetAccountWork(now, AccountWorkReport{From: "other", Local: true, Work: workOf("x", time.Second)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := informed.SetAccountWork(now, AccountWorkReport{From: "other", Local: true, Work: []byte{200, 1}}); err == nil {
		t.Error("no error for a damaged report")
	}
	if work := informed.work.Work(now, fairshare.Key{Service: serviceName, Region: "a", Account: fairshare.AccountOf("x")}); work > time.Second {
		t.Errorf("work %v after two equal reports of 1s", work)
	}
	check("with a report", informed, now, class, "[y y x x]")

	expired, class, _ := newFairBalancer(now)
	if err := expired.SetAccountWork(now, AccountWorkReport{From: "other", Local: true, Work: workOf("x", time.Second)}); err != nil {
		t.Fatal(err)
	}
	later := now.Add(fairshare.ReportTTL)
	expired.Tick(later)
	check("after the report has expired", expired, later, class, "[y x x y]")
}

// Requests without an account, and all requests without the policy, must be ordered as before.
func TestOrderWithoutAccounts(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class, _ := newFairBalancer(now)
	if got := fmt.Sprint(queueOf(t, now, b, class, "", "", "")); got != "[  ]" || b.work.Report(now) != nil {
		t.Errorf("order %s, work %v", got, b.work.Report(now))
	}
	for i, w := range b.services[serviceName].queue.waiting {
		if w.tag != 0 || i > 0 && w.request.Objective.Before(b.services[serviceName].queue.waiting[i-1].request.Objective) {
			t.Errorf("request %d: tag %v, objective %v", i, w.tag, w.request.Objective)
		}
	}
	b, class, _ = newFairBalancer(now)
	b.services[serviceName].queue.work = nil
	if got := fmt.Sprint(queueOf(t, now, b, class, "x", "x", "y", "y")); got != "[x x y y]" {
		t.Errorf("order %s without the policy", got)
	}
}

// Requests without an account that have waited beside those of an account must keep their order when these have
// left the queue.
func TestOrderAfterAccountsHaveLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class, _ := newFairBalancer(now)
	queueOf(t, now, b, class, "x", "", "")
	b.Cancel(b.services[serviceName].queue.waiting[0])
	r := accountRequest(now, class, "")
	r.Objective = r.Objective.Add(time.Second)
	_, w := b.Place(now, r)
	if waiting := b.services[serviceName].queue.waiting; waiting[len(waiting)-1] != w {
		t.Error("the latest objective is not last")
	}
}

// More urgent ranks must go before accounts with less work.
func TestRankPrecedesWork(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class, _ := newFairBalancer(now)
	if err := b.SetAccountWork(now, AccountWorkReport{From: "other", Local: true, Work: workOf("x", time.Minute)}); err != nil {
		t.Fatal(err)
	}
	queueOf(t, now, b, class, "y")
	urgent := accountRequest(now, class, "x")
	less := accountRequest(now, class, "y")
	less.Priority = 1
	b.Place(now, less)
	urgent.Priority = 0
	b.Place(now, urgent)
	waiting := b.services[serviceName].queue.waiting
	if len(waiting) != 3 || waiting[1].request != urgent || waiting[2].request != less {
		t.Errorf("%d waiting, the urgent request is not before the less urgent one", len(waiting))
	}
}

// The work of a request must be that of its run at the target, and nothing if it did not run. A waiting request
// that is overtaken until it would end too late must be refused at once and counted, with the work of its account
// beyond that of the others.
func TestOvertakenRequestIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class, d := newFairBalancer(now)
	r := accountRequest(now, class, "x")
	r.Objective, r.Deadline = now.Add(time.Second), now.Add(1100*time.Millisecond)
	_, w := b.Place(now, r)
	if w == nil {
		t.Fatal("not queued")
	}
	// Waits before the report, so that it does not count as idle.
	queueOf(t, now, b, class, "y")
	if err := b.SetAccountWork(now, AccountWorkReport{From: "other", Local: true, Work: workOf("x", 30*time.Second)}); err != nil {
		t.Fatal(err)
	}
	for range 60 {
		b.Place(now, accountRequest(now, class, "y"))
	}
	b.Done(now, d, class, Answered, 100*time.Millisecond)
	select {
	case refusal := <-w.Decided():
		_, overtaken := b.LargestAccounts(now)
		if refusal.Target != nil || refusal.Reason != TooLate || !refusal.HasAccountWork || refusal.AccountWork < 25*time.Second || overtaken != 1 {
			t.Errorf("%+v, %d overtaken", refusal, overtaken)
		}
	default:
		t.Error("an overtaken request is still queued")
	}
}

// Requests of several accounts must get all free places of a target at once: one must not leave the queue of a
// full target to requests that have been assigned before it.
func TestFreePlacesAreTakenTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class, _ := newFairBalancer(now)
	queueOf(t, now, b, class, "v", "w", "x", "y")
	b.SetTargets(now, services(0), []TargetSpec{listing("t1"), listing("t2"), listing("t3")}, nil)
	b.Tick(now)
	if n := b.Waiting(); n > 0 {
		t.Errorf("%d requests wait beside free places", n)
	}
}

// The first request of an account in a queue of requests without one must be compared with their work as an
// account, and not go behind all of them.
func TestAccountBesideRequestsWithoutOne(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class, _ := newFairBalancer(now)
	queueOf(t, now, b, class, "", "", "", "", "")
	b.work.Start(now, fairKey(accountRequest(now, class, "y"), "a"), "y", time.Millisecond)
	if n := b.services[serviceName].queue.backlog(accountRequest(now, class, "y"), "a", now).requests; n > 1 {
		t.Errorf("%d of 5 requests go before that of an account with 1 ms of work", n)
	}
}
