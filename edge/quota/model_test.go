package quota

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// step is the resolution of the model's time.
const step = 10 * time.Millisecond

var modelBounds = Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// model is a fleet of VMs in virtual time, with the requests of some accounts.
type model struct {
	random *rand.Rand
	now    time.Time
	bounds Bounds
	// entitled is the number of VMs among which the limits are divided and that may coordinate,
	// the first ones. 0 means all, with a coordinator in each region.
	entitled int
	accounts []*site.Account
	vms      []*modelVM
	network  []datagram
	// bytes and datagrams count what was sent.
	bytes, datagrams int
	// makeScheme returns the way in which a VM decides.
	makeScheme func(*model, *modelVM) scheme
	loads      []modelLoad
	results    map[string]*modelResult
	// changes are the limits of each account since the start.
	changes map[string][]limitChange
}

// scheme is one way to keep the quotas.
type scheme interface {
	// take decides on a request: decided is false if decide is called later instead.
	take(a *site.Account, decide func(admitted bool)) (admitted, decided bool)
	tick()
	receive(from int, kind string, payload []byte)
}

type modelVM struct {
	index       int
	incarnation uint64
	scheme      scheme
	// side is the part of the network, frozenUntil the end of a pause.
	side        int
	frozenUntil time.Time
	down        bool
}

type datagram struct {
	at       time.Time
	from, to int
	kind     string
	payload  []byte
}

// modelLoad is the offered load of an account: requests per second at some VMs.
type modelLoad struct {
	account *site.Account
	perS    float64
	at      []int
}

type limitChange struct {
	at    time.Time
	limit Limit
}

type modelResult struct {
	asked, admitted int
	runs            []time.Time
	// waited is the sum of the times from request to admission.
	waited time.Duration
}

func newModel(seed uint64, vms int, makeScheme func(*model, *modelVM) scheme, accounts ...*site.Account) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), bounds: modelBounds, accounts: accounts, makeScheme: makeScheme,
		results: make(map[string]*modelResult), changes: make(map[string][]limitChange),
	}
	for _, a := range accounts {
		m.results[a.Name] = &modelResult{}
		m.changes[a.Name] = []limitChange{{m.now, AccountLimit(a)}}
	}
	for i := range vms {
		m.vms = append(m.vms, &modelVM{index: i})
	}
	for _, vm := range m.vms {
		m.start(vm)
	}
	return m
}

func (m *model) start(vm *modelVM) {
	vm.incarnation++
	vm.scheme = m.makeScheme(m, vm)
}

func (m *model) limit(id uint32) (Limit, bool) {
	for _, a := range m.accounts {
		if IDOf(a.Name) == id {
			return AccountLimit(a), true
		}
	}
	return Limit{}, false
}

// send delivers a datagram after a delay, unless it is lost.
func (m *model) send(from *modelVM, to int, kind string, payload []byte) {
	m.bytes += len(payload)
	m.datagrams++
	if to >= len(m.vms) || m.random.Float64() < 0.01 {
		return
	}
	delay := time.Duration(1+m.random.IntN(4)) * time.Millisecond
	if m.regionOf(from.index) != m.regionOf(to) {
		delay += 55 * time.Millisecond
	}
	m.network = append(m.network, datagram{m.now.Add(delay), from.index, to, kind, append([]byte(nil), payload...)})
}

// regionOf returns the region of a VM.
func (m *model) regionOf(vm int) int {
	if m.entitled > 0 {
		return min(1, vm/m.entitled)
	}
	return vm % 3
}

// partsOf returns the number of VMs among which the limits are divided, 0 for a VM that has none.
func (m *model) partsOf(vm int) int {
	switch {
	case m.entitled == 0:
		return len(m.vms)
	case vm < m.entitled:
		return m.entitled
	}
	return 0
}

// mayCoordinate reports whether a VM coordinates for another one.
func (m *model) mayCoordinate(i, vm int) bool {
	if m.entitled > 0 {
		return i < m.entitled
	}
	return m.regionOf(i) == m.regionOf(vm)
}

// run advances the model.
func (m *model) run(length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(step) {
		m.deliver()
		for _, load := range m.loads {
			for n := m.poisson(load.perS * step.Seconds()); n > 0; n-- {
				m.ask(m.vms[load.at[m.random.IntN(len(load.at))]], load.account)
			}
		}
		if m.now.UnixMilli()%100 == 0 {
			for _, vm := range m.vms {
				if vm.runs(m.now) {
					vm.scheme.tick()
				}
			}
		}
	}
}

func (vm *modelVM) runs(now time.Time) bool { return !vm.down && !now.Before(vm.frozenUntil) }

func (m *model) deliver() {
	due := m.network
	m.network = nil
	for _, d := range due {
		to, from := m.vms[d.to], m.vms[d.from]
		switch {
		case d.at.After(m.now) || !to.down && !to.runs(m.now):
			m.network = append(m.network, d)
		case to.down || to.side != from.side:
		default:
			to.scheme.receive(d.from, d.kind, d.payload)
		}
	}
}

func (m *model) ask(vm *modelVM, a *site.Account) {
	r := m.results[a.Name]
	r.asked++
	if !vm.runs(m.now) {
		return
	}
	asked := m.now
	admit := func(admitted bool) {
		if admitted {
			r.admitted++
			r.runs = append(r.runs, m.now)
			r.waited += m.now.Sub(asked)
		}
	}
	if admitted, decided := vm.scheme.take(a, admit); decided {
		admit(admitted)
	}
}

func (m *model) poisson(mean float64) int {
	n := 0
	for sum := m.random.ExpFloat64(); sum < mean; sum += m.random.ExpFloat64() {
		n++
	}
	return n
}

// setLimit changes the limit of an account.
func (m *model) setLimit(a *site.Account, rate, burst float64) {
	a.Rate, a.Burst = rate, burst
	m.changes[a.Name] = append(m.changes[a.Name], limitChange{m.now, AccountLimit(a)})
}

// overrun returns by how many requests the worst window exceeds its bound, 0 if none does. A lower
// limit binds one window after it was set.
func (m *model) overrun(a *site.Account) int {
	runs, worst, first := m.results[a.Name].runs, 0, 0
	for i, at := range runs {
		for at.Sub(runs[first]) >= m.bounds.Window {
			first++
		}
		worst = max(worst, i-first+1-m.bound(a, at))
	}
	return worst
}

func (m *model) bound(a *site.Account, at time.Time) int {
	highest, list := 0.0, m.changes[a.Name]
	for i, c := range list {
		if c.at.After(at) || i+1 < len(list) && at.Sub(list[i+1].at) > 2*m.bounds.Window {
			continue
		}
		l := c.limit
		highest = max(highest, (l.Rate*m.bounds.Window.Seconds()+l.Burst)*(1+m.bounds.Overshoot)+m.bounds.Slack)
	}
	return int(highest)
}

// pooledScheme is the product's way.
type pooledScheme struct {
	m       *model
	vm      *modelVM
	quota   *Quota
	waiting []waitingRequest
}

type waitingRequest struct {
	id     uint32
	w      *waiter
	until  time.Time
	decide func(bool)
}

func pooledWay(m *model, vm *modelVM) scheme {
	p := &pooledScheme{m: m, vm: vm}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p.quota = New(Options{
		VM: fmt.Sprint(vm.index), Incarnation: vm.incarnation, Bounds: m.bounds, Logger: logrus.NewEntry(log),
		Limit: m.limit, Fleet: func() int { return m.partsOf(vm.index) }, Groups: func() int { return 1 }, Leaving: func() bool { return false },
		Coordinator: func(_ int, avoid func(string) bool) Coordinator {
			for i := range m.vms {
				if name := fmt.Sprint(i); !avoid(name) && m.mayCoordinate(i, vm.index) {
					return Coordinator{Name: name, Address: name, RTT: 10 * time.Millisecond}
				}
			}
			return Coordinator{Name: fmt.Sprint(vm.index)}
		},
		OtherCoordinators: func(int) (others []Coordinator) {
			for i := range min(3, len(m.vms)) {
				if m.entitled == 0 && m.regionOf(i) != m.regionOf(vm.index) {
					others = append(others, Coordinator{Name: fmt.Sprint(i), Address: fmt.Sprint(i)})
				}
			}
			return others
		},
		SendRequest: func(address string, payload []byte) { p.send(address, "request", payload) },
		Now:         func() time.Time { return m.now },
	})
	return p
}

func (p *pooledScheme) send(address, kind string, payload []byte) {
	var to int
	fmt.Sscan(address, &to)
	p.m.send(p.vm, to, kind, payload)
}

func (p *pooledScheme) take(a *site.Account, decide func(bool)) (admitted, decided bool) {
	limit := AccountLimit(a)
	verdict, _, w := p.quota.holder.take(p.m.now, limit)
	if verdict != pending {
		return verdict == Admitted, true
	}
	p.quota.reportIfDue(0, minReportGap)
	p.waiting = append(p.waiting, waitingRequest{limit.ID, w, p.m.now.Add(takeTimeout), decide})
	p.collect()
	return false, false
}

// collect delivers the decisions on waiting requests.
func (p *pooledScheme) collect() {
	kept := p.waiting[:0]
	for _, r := range p.waiting {
		select {
		case d := <-r.w.decided:
			r.decide(d.verdict == Admitted)
			continue
		default:
		}
		if p.m.now.Before(r.until) {
			kept = append(kept, r)
			continue
		}
		p.quota.holder.cancel(p.m.now, r.id, r.w)
	}
	p.waiting = kept
}

func (p *pooledScheme) tick() {
	p.quota.Tick()
	p.collect()
}

func (p *pooledScheme) receive(from int, kind string, payload []byte) {
	if kind == "request" {
		if reply := p.quota.HandleRequest(fmt.Sprint(from), payload); reply != nil {
			p.send(fmt.Sprint(from), "reply", reply)
		}
	} else {
		p.quota.HandleReply(fmt.Sprint(from), payload)
	}
	p.collect()
}

// fixedScheme gives each VM the same part of the rate.
type fixedScheme struct {
	m       *model
	buckets map[string]*fixedBucket
}

type fixedBucket struct {
	tokens float64
	at     time.Time
}

func fixedWay(m *model, _ *modelVM) scheme {
	return &fixedScheme{m: m, buckets: make(map[string]*fixedBucket)}
}

func (f *fixedScheme) take(a *site.Account, _ func(bool)) (admitted, decided bool) {
	b := f.buckets[a.Name]
	if b == nil {
		b = &fixedBucket{at: f.m.now}
		f.buckets[a.Name] = b
	}
	n := float64(len(f.m.vms))
	stored := max(1, (a.Burst+f.m.bounds.Slack/2)/n)
	b.tokens = min(stored, b.tokens+a.Rate/n*f.m.now.Sub(b.at).Seconds())
	b.at = f.m.now
	if b.tokens < 1 {
		return false, true
	}
	b.tokens--
	return true, true
}
func (f *fixedScheme) tick()                       {}
func (f *fixedScheme) receive(int, string, []byte) {}

// countedScheme admits while the runs of the last window, its own and those that the other VMs
// have reported, stay below the limit. Without a report for a second it uses a fixed part.
type countedScheme struct {
	m      *model
	vm     *modelVM
	own    map[string][]time.Time
	others map[int]map[string]int
	heard  map[int]time.Time
	ticks  int
}

func countedWay(m *model, vm *modelVM) scheme {
	return &countedScheme{m: m, vm: vm, own: make(map[string][]time.Time), others: make(map[int]map[string]int), heard: make(map[int]time.Time)}
}

func (c *countedScheme) recent(name string) int {
	runs := c.own[name]
	for len(runs) > 0 && c.m.now.Sub(runs[0]) >= c.m.bounds.Window {
		runs = runs[1:]
	}
	c.own[name] = runs
	return len(runs)
}

func (c *countedScheme) take(a *site.Account, _ func(bool)) (admitted, decided bool) {
	total, silent := c.recent(a.Name), 0
	for i := range c.m.vms {
		if i != c.vm.index && c.m.now.Sub(c.heard[i]) > time.Second {
			silent++
			continue
		}
		total += c.others[i][a.Name]
	}
	limit := a.Rate*c.m.bounds.Window.Seconds() + a.Burst
	limit *= float64(len(c.m.vms)-silent) / float64(len(c.m.vms))
	if float64(total) >= limit {
		return false, true
	}
	c.own[a.Name] = append(c.own[a.Name], c.m.now)
	return true, true
}

func (c *countedScheme) tick() {
	if c.ticks++; c.ticks%5 != 0 {
		return
	}
	var payload []byte
	for _, a := range c.m.accounts {
		payload = append(payload, byte(c.recent(a.Name)>>8), byte(c.recent(a.Name)))
	}
	for i := range c.m.vms {
		if i != c.vm.index {
			c.m.send(c.vm, i, "", payload)
		}
	}
}

func (c *countedScheme) receive(from int, _ string, payload []byte) {
	c.heard[from] = c.m.now
	c.others[from] = make(map[string]int)
	for i, a := range c.m.accounts {
		c.others[from][a.Name] = int(payload[2*i])<<8 | int(payload[2*i+1])
	}
}

func allVMs(n int) []int {
	var all []int
	for i := range n {
		all = append(all, i)
	}
	return all
}

// The table of docs/design/0019: each way under the same loads and faults.
func TestWaysCompared(t *testing.T) {
	for _, way := range []struct {
		name string
		make func(*model, *modelVM) scheme
	}{{"pooled", pooledWay}, {"fixed", fixedWay}, {"counted", countedWay}} {
		for _, c := range []struct {
			name  string
			times float64
			fault func(*model)
		}{
			{"calm", 1, func(*model) {}},
			{"hot", 6, func(*model) {}},
			{"halved", 1.6, func(m *model) { m.setLimit(m.accounts[0], 12, 12) }},
			{"cut", 3, func(m *model) {
				for i := range m.vms {
					m.vms[i].side = i % 3 / 2
				}
			}},
			{"restart", 1, func(m *model) {
				for _, vm := range m.vms {
					m.start(vm)
				}
			}},
			{"pause", 3, func(m *model) { m.vms[0].frozenUntil = m.now.Add(6 * time.Second) }},
		} {
			a, b := &site.Account{Name: "a", Rate: 24, Burst: 24}, &site.Account{Name: "b", Rate: 300, Burst: 300}
			m := newModel(7, 84, way.make, a, b)
			m.loads = []modelLoad{{a, 15, []int{3, 9, 20, 31, 44, 58, 59, 60, 71, 77, 80, 83}}, {b, 188, allVMs(84)}}
			m.run(5 * time.Second)
			before, beforeB := *m.results["a"], *m.results["b"]
			m.bytes, m.datagrams = 0, 0
			m.loads[0].perS *= c.times
			m.loads[1].perS *= c.times
			c.fault(m)
			m.run(12 * time.Second)
			ra, rb := m.results["a"], m.results["b"]
			t.Logf("%-8s %-8s a: %4d of %4d, over by %3d; b: %4d of %5d, over by %3d; %5.0f B/s a VM, mean wait %s", way.name, c.name,
				ra.admitted-before.admitted, ra.asked-before.asked, m.overrun(a), rb.admitted-beforeB.admitted, rb.asked-beforeB.asked, m.overrun(b),
				float64(m.bytes)/12/84, (ra.waited / time.Duration(max(1, ra.admitted))).Round(time.Millisecond))
			if way.name == "pooled" && (m.overrun(a) > 0 || m.overrun(b) > 0) {
				t.Errorf("%s: a quota is exceeded", c.name)
			}
		}
	}
}
