package entry

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/clock"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	loadVMs = 4
	// loadSlots are enough for each rate of the tests.
	loadSlots = 24
	// loadDelay is the one-way delay between two VMs.
	loadDelay  = time.Millisecond
	loadWarmUp = 5 * time.Second
	loadTime   = 60 * time.Second
	// promptly is how soon a request is to be refused that gets no token in time.
	promptly = 20 * time.Millisecond
)

// limitLoad is a region of VMs whose callers want the only target of a service, which states a
// limit.
type limitLoad struct {
	rate      float64
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	callers   int

	// machine is what all VMs run on.
	machine *machine
	vms     []*limitLoadVM
	stop    chan struct{}
	all     sync.WaitGroup

	mu     sync.Mutex
	counts limitLoadCounts
}

type limitLoadCounts struct {
	served, refused, refusedPromptly int
	// returned counts the tries after a refusal, and returnedServed those that were served.
	returned, returnedServed int
}

type limitLoadVM struct {
	balancer *placing.Balancer
	limits   *targetLimits
	quota    *regionQuota
	class    *placing.Class
}

func (l *limitLoad) newVM(name string) *limitLoadVM {
	started := time.Now()
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	e := &Entry{log: logger}
	e.contact = newContact(clock.NewFrom(time.Now, l.machine.boot), 0)
	vm := &limitLoadVM{class: placing.NewClass(l.work)}
	vm.limits = &targetLimits{entry: e, started: e.now(), table: ratelimit.New(e.now(), vm.apply), asks: make(chan *targetLimit, maxAsks)}
	e.targetLimits = vm.limits
	vm.quota = &regionQuota{limits: e.targetLimits, local: true, Quota: quota.New(quota.Options{
		VM: name, Incarnation: 1, Bounds: targetLimitBounds, Immediate: true, Logger: e.component("targetlimits"),
		Limit: func(id uint32) (quota.Limit, bool) {
			rate, limited := vm.limits.table.Limit(id)
			return quota.Limit{ID: id, Rate: rate}, limited
		},
		Fleet: func() int { return loadVMs }, Groups: func() int { return 1 },
		Coordinator:       func(int, func(string) bool) quota.Coordinator { return quota.Coordinator{Name: "vm0", Address: "vm0"} },
		OtherCoordinators: func(int) []quota.Coordinator { return nil },
		SendRequest:       func(_ string, payload []byte) { l.send(vm, payload) },
		Leaving:           func() bool { return false }, Now: e.now,
	})}
	e.targetLimits.quotas = []*regionQuota{vm.quota}
	e.balancer = placing.New(placing.Options{
		VM: name, Zone: "z", Region: "r", RegionOf: map[string]string{"z": "r"}, RTT: func(string) time.Duration { return 2 * loadDelay },
	})
	vm.balancer = e.balancer
	target := site.Target{ID: "t", Service: "s", Address: "t:1", Zone: "z", Slots: loadSlots}
	vm.balancer.SetTargets(started, map[string]site.Service{"s": {Name: "s"}}, []placing.TargetSpec{{Target: target}}, nil)
	vm.state(l.rate)
	return vm
}

// apply passes the limit to the balancer.
func (vm *limitLoadVM) apply(limits map[uint32]float64) {
	vm.balancer.SetRateLimits(time.Now(), func(t *placing.Target) placing.RateLimit {
		limit := quota.Limit{ID: quota.IDOf(t.ID), Rate: limits[quota.IDOf(t.ID)]}
		return &targetLimit{quota: vm.quota, limit: limit, metrics: newLimitMetrics(tally.NoopScope).of(t.ID)}
	})
}

// state lets the VM learn the limit of the target.
func (vm *limitLoadVM) state(rate float64) {
	now := vm.limits.Now()
	vm.limits.Observe(ratelimit.Observation{Target: quota.IDOf("t"), Limited: true, Rate: rate, At: now}, now)
}

// send carries a report to the coordinator, which is the first VM, and its reply back.
func (l *limitLoad) send(from *limitLoadVM, payload []byte) {
	time.AfterFunc(loadDelay, func() {
		if reply := l.vms[0].quota.HandleRequest("", payload); reply != nil {
			time.AfterFunc(loadDelay, func() { from.limits.handleReply(nil, "vm0", append([]byte{0}, reply...)) })
		}
	})
}

func (l *limitLoad) maintain(vm *limitLoadVM) {
	for l.sleep(queueInterval) {
		vm.state(l.currentRate())
		vm.balancer.Tick(time.Now())
		vm.quota.Tick()
	}
}

func (l *limitLoad) currentRate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate
}

// sleep returns false if the load has ended.
func (l *limitLoad) sleep(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// call sends one request and returns when to try again if it is refused.
func (l *limitLoad) call(vm *limitLoadVM) (retryAfter time.Duration, served bool) {
	now := time.Now()
	r := &placing.Request{Service: "s", Class: vm.class, Objective: now.Add(l.objective), Deadline: now.Add(l.deadline)}
	d, w := vm.balancer.Place(now, r)
	if w != nil {
		select {
		case d = <-w.Decided():
		case <-time.After(l.deadline):
			if late, decided := vm.balancer.Cancel(w); decided {
				d = late
			}
		}
	}
	l.count(time.Since(now), d.Target != nil)
	if d.Target == nil {
		return d.RetryAfter, false
	}
	time.Sleep(l.work)
	vm.balancer.Done(time.Now(), d, vm.class, placing.Answered, l.work)
	return 0, true
}

func (l *limitLoad) count(waited time.Duration, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case served:
		l.counts.served++
	case waited <= promptly:
		l.counts.refusedPromptly++
		fallthrough
	default:
		l.counts.refused++
	}
}

// caller sends one request after the other, and returns when it is told to.
func (l *limitLoad) caller(vm *limitLoadVM) {
	returns := false
	for {
		retryAfter, served := l.call(vm)
		if returns {
			l.countReturn(served)
		}
		returns = !served
		if !l.sleep(retryAfter) {
			return
		}
	}
}

func (l *limitLoad) countReturn(served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.returned++
	if served {
		l.counts.returnedServed++
	}
}

// start starts the VMs.
func (l *limitLoad) start() {
	l.stop, l.machine = make(chan struct{}), &machine{started: time.Now()}
	for i := range loadVMs {
		l.vms = append(l.vms, l.newVM(fmt.Sprint("vm", i)))
	}
	for _, vm := range l.vms {
		l.all.Go(func() { l.maintain(vm) })
		l.all.Go(func() { vm.limits.answerAsks(l.stop) })
	}
}

// startCallers starts callers, spread over all VMs.
func (l *limitLoad) startCallers(callers int) {
	for i := range callers {
		l.all.Go(func() {
			if l.sleep(time.Duration(i) * time.Millisecond) {
				l.caller(l.vms[i%loadVMs])
			}
		})
	}
}

// countFor returns what is counted in a time.
func (l *limitLoad) countFor(d time.Duration) limitLoadCounts {
	l.mu.Lock()
	l.counts = limitLoadCounts{}
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *limitLoad) end() {
	close(l.stop)
	l.all.Wait()
}

// run plays the load and returns what was counted after the warm-up.
func (l *limitLoad) run() limitLoadCounts {
	l.start()
	defer l.end()
	l.startCallers(l.callers)
	time.Sleep(loadWarmUp)
	return l.countFor(loadTime)
}

// A target that raises its limit must get what it takes, from callers that come then.
func TestRaisedLimitIsUsedAtOnce(t *testing.T) {
	const before, after, settle, lasts, used = 0.2, 20.0, time.Second, 10 * time.Second, 0.9
	synctest.Test(t, func(t *testing.T) {
		l := &limitLoad{rate: before, work: 5 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 2 * time.Second}
		l.start()
		defer l.end()
		l.startCallers(40)
		time.Sleep(20 * time.Second)
		l.mu.Lock()
		l.rate = after
		l.mu.Unlock()
		l.startCallers(80)
		time.Sleep(settle)
		if c := l.countFor(lasts); float64(c.served) < used*after*lasts.Seconds() {
			t.Errorf("%+v, %v allowed", c, after*lasts.Seconds())
		}
	})
}

// A limit that changes while requests wait for its tokens must not stop the VM that coordinates it.
func TestLimitChangesWhileRequestsWait(t *testing.T) {
	l := &limitLoad{rate: 2, work: time.Millisecond, stop: make(chan struct{}), machine: &machine{started: time.Now()}}
	defer close(l.stop)
	vm := l.newVM("vm0")
	l.vms = append(l.vms, vm)
	go vm.limits.answerAsks(l.stop)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 200 {
			now := time.Now()
			r := &placing.Request{Service: "s", Class: vm.class, Objective: now.Add(time.Minute), Deadline: now.Add(time.Hour)}
			vm.balancer.Place(now, r)
			l.machine.suspend(300 * time.Millisecond)
			vm.quota.Tick()
			l.machine.suspend(100 * time.Millisecond)
			vm.state(2 + float64(i%2))
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the VM hangs")
	}
}

// Callers of a limited target must not wait in vain, nor be told to return before there is a token
// for them; the target must get what it takes.
func TestCallersOfLimitedTargetAreRefusedAtOnceAndReturnInTurn(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 2, 20} {
		for _, work := range []time.Duration{5 * time.Millisecond, 800 * time.Millisecond} {
			for _, callers := range []int{3, 20, 200} {
				t.Run(fmt.Sprintf("rate=%v_work=%s_callers=%d", rate, work, callers), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						l := &limitLoad{rate: rate, work: work, objective: 400 * time.Millisecond, deadline: 2 * time.Second, callers: callers}
						if work > l.objective {
							l.objective, l.deadline = time.Second, 8*time.Second
						}
						l.check(t, l.run())
					})
				})
			}
		}
	}
}

func (l *limitLoad) check(t *testing.T, c limitLoadCounts) {
	const promptShare, usedShare, returnShare = 0.95, 0.9, 0.5
	allowed := l.rate * loadTime.Seconds()
	t.Logf("%+v, %v allowed", c, allowed)
	if float64(c.refusedPromptly) < promptShare*float64(c.refused) {
		t.Errorf("%d of %d refusals within %s", c.refusedPromptly, c.refused, promptly)
	}
	// What the callers ask for if none is refused.
	offered := float64(l.callers) / l.work.Seconds() * loadTime.Seconds()
	if float64(c.served) < usedShare*min(allowed, offered)-1 {
		t.Errorf("%d requests served", c.served)
	}
	if float64(c.returnedServed) < returnShare*min(allowed, float64(c.returned))-1 {
		t.Errorf("%d of %d tries after a refusal served", c.returnedServed, c.returned)
	}
}
