package placing

import (
	"testing"
	"time"
)

// fakeLimit permits a number of requests.
type fakeLimit struct {
	rate   float64
	tokens int
	wanted int
}

func (l *fakeLimit) Rate() float64 { return l.rate }
func (l *fakeLimit) Ready() bool   { return l.tokens > 0 }
func (l *fakeLimit) Want()         { l.wanted++ }
func (l *fakeLimit) Expect() (wait, interval time.Duration, ok bool) {
	if l.rate <= 0 {
		return 0, 0, false
	}
	interval = time.Duration(float64(time.Second) / l.rate)
	if l.tokens > 0 {
		return 0, interval, true
	}
	return interval, interval, true
}
func (l *fakeLimit) Use() bool {
	if l.tokens == 0 {
		return false
	}
	l.tokens--
	return true
}

// limitTarget gives one target a limit.
func limitTarget(b *Balancer, now time.Time, id string, l *fakeLimit) {
	b.SetRateLimits(now, func(t *Target) RateLimit {
		if t.ID == id {
			return l
		}
		return nil
	})
}

// A target must get no more requests than its limit permits, with and without affinity keys, in
// the queue and after it has registered again; the others serve the rest.
func TestRateLimitedTargetGetsOnlyWhatItsLimitPermits(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newFourTargetBalancer(now, "vm"), NewClass(time.Second)
	limit := &fakeLimit{rate: 2, tokens: 3}
	limitTarget(b, now, "t1", limit)
	limited := 0
	for i := range 200 {
		r := request(now, class)
		if i%2 == 0 {
			r = keyRequest(now, class, uint64(i%30)*0x9e3779b97f4a7c15)
		}
		d, w := b.Place(now, r)
		if w != nil || d.Target == nil {
			t.Fatalf("request %d is not placed: %+v", i, d)
		}
		if d.Target.ID == "t1" {
			limited++
		}
		b.Done(now, d, class, Answered, 20*time.Millisecond)
		if i == 100 {
			restarted := listing("t1")
			restarted.StartedMillis = 5
			b.SetTargets(now, services(0), []TargetSpec{restarted, listing("t2"), listing("t3"), listing("t4")}, nil)
		}
	}
	if limited != 3 || limit.wanted == 0 {
		t.Errorf("target got %d requests and was wanted %d times, want 3 and more than 0", limited, limit.wanted)
	}
}

// A request that waits must get a target whose limit permits a request again.
func TestQueueIsServedWhenLimitPermits(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	limit := &fakeLimit{rate: 100}
	b.SetRateLimits(now, func(*Target) RateLimit { return limit })
	_, w := b.Place(now, request(now, class))
	if w == nil {
		t.Fatal("a request was placed that no limit permits")
	}
	b.Tick(now)
	limit.tokens = 1
	b.Tick(now.Add(10 * time.Millisecond))
	select {
	case d := <-w.Decided():
		if d.Target == nil {
			t.Errorf("decision %+v", d)
		}
	default:
		t.Error("the request still waits")
	}
}

// askedLimit is a limit whose coordinator has told how long the next token takes.
type askedLimit struct {
	fakeLimit
	wait time.Duration
}

func (l *askedLimit) Expect() (wait, interval time.Duration, ok bool) {
	return l.wait, time.Duration(float64(time.Second) / l.rate), true
}

// Guards against a request that stays in the queue after a coordinator has told that it gets no permit in
// time for its objective: others overtake it then, and it is refused seconds later.
func TestRequestIsRefusedAtOnceWhenThePermitIsToldToComeLate(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(400*time.Millisecond)
	limit := &askedLimit{fakeLimit: fakeLimit{rate: 2}}
	b.SetRateLimits(now, func(*Target) RateLimit { return limit })
	r := request(now, class)
	_, w := b.Place(now, r)
	if w == nil {
		t.Fatal("a request is not queued while a token is asked for")
	}
	now = now.Add(3 * time.Millisecond)
	// In time for latestEnd, but not for the objective.
	limit.wait = r.latestEnd().Sub(now) - 450*time.Millisecond
	if !now.Add(limit.wait + 400*time.Millisecond).After(r.Objective) {
		t.Fatal("the objective can be met")
	}
	b.Tick(now)
	select {
	case d := <-w.Decided():
		if d.Target != nil || d.Reason != NoPermit || d.RetryAfter < limit.wait {
			t.Errorf("%+v, want a refusal until the permit comes in %s", d, limit.wait)
		}
	default:
		t.Error("the request waits for a permit that comes too late")
	}
}

// Guards against refusals of requests whose permit is about to come all the time: a token that is some
// milliseconds later than told must find a request.
func TestRequestWaitsOnForAPermitThatIsAboutToCome(t *testing.T) {
	start := time.Unix(1000, 0)
	b, class := newBalancer(start), NewClass(400*time.Millisecond)
	limit := &askedLimit{fakeLimit: fakeLimit{rate: 2}, wait: 10 * time.Millisecond}
	b.SetRateLimits(start, func(*Target) RateLimit { return limit })
	r := request(start, class)
	_, w := b.Place(start, r)
	if w == nil {
		t.Fatal("a request is not queued for a permit that comes in 10 ms")
	}
	now := start
	for ; !r.missesObjective(now.Add(-20 * time.Millisecond)); now = now.Add(5 * time.Millisecond) {
		b.Tick(now)
	}
	limit.tokens = 1
	b.Tick(now)
	select {
	case d := <-w.Decided():
		if d.Target == nil {
			t.Errorf("%+v after %s", d, now.Sub(start))
		}
	default:
		t.Error("the request still waits")
	}
}

// The slots that a limit leaves idle are no capacity: requests would wait for them in vain.
func TestLimitedTargetCountsForTheSlotsThatItsRateKeepsBusy(t *testing.T) {
	target := &Target{limit: &fakeLimit{rate: 4}}
	target.Slots = 6
	for occupancy, want := range map[float64]float64{0: 6, 0.1: 0.4, 0.5: 2, 10: 6} {
		if got := target.usableSlots(occupancy); got != want {
			t.Errorf("%v usable slots at %v s a request, want %v", got, occupancy, want)
		}
	}
}

// A request must not wait for a permit of its region's only target while one of another region is
// idle, nor when that becomes free later.
func TestRequestUsesFreeTargetOfOtherRegionWithoutPermit(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a", "b1": "b"},
		RTT: func(string) time.Duration { return time.Millisecond },
	})
	idle := listing("t2")
	idle.Zone, idle.Slots = "b1", 1
	b.SetTargets(now, services(0), []TargetSpec{listing("t1"), idle}, nil)
	limitTarget(b, now, "t1", &fakeLimit{rate: 100})
	class := NewClass(100 * time.Millisecond)
	for i := range 20 {
		d, w := b.Place(now, keyRequest(now, class, uint64(i)*0x9e3779b97f4a7c15))
		if w != nil || d.Target == nil || d.Target.ID != "t2" {
			t.Fatalf("request %d: %+v, want the idle target", i, d)
		}
		b.Done(now, d, class, Answered, 10*time.Millisecond)
	}
	running, _ := b.Place(now, request(now, class))
	_, w := b.Place(now, request(now, class))
	if w == nil {
		t.Fatal("a request does not wait though it has neither a permit nor a free target")
	}
	b.Done(now.Add(10*time.Millisecond), running, class, Answered, 10*time.Millisecond)
	select {
	case d := <-w.Decided():
		if d.Target == nil || d.Target.ID != "t2" {
			t.Errorf("%+v, want the target that became free", d)
		}
	default:
		t.Error("the request still waits beside a free target")
	}
}

// A probe of an ejected target is a request of its limit too.
func TestProbeTakesPermit(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newFourTargetBalancer(now, "vm"), NewClass(time.Second)
	limit := &fakeLimit{rate: 2, tokens: 1}
	limitTarget(b, now, "t1", limit)
	d, _ := b.Place(now, request(now, class))
	for d.Target.ID != "t1" {
		d, _ = b.Place(now, request(now, class))
	}
	b.Done(now, d, class, Unreachable, 0)
	later := now.Add(maxEjection)
	if due := b.DueProbes(later); len(due) != 0 || limit.wanted == 0 {
		t.Errorf("%d probes without a permit, wanted %d times", len(due), limit.wanted)
	}
	limit.tokens = 1
	if due := b.DueProbes(later); len(due) != 1 || limit.tokens != 0 {
		t.Errorf("%d probes with a permit, %d permits left", len(due), limit.tokens)
	}
}

// A caller that finds only cold targets which this VM leaves to others must be refused at once and soon
// try another VM.
func TestCallerOfColdTargetSoonTriesAnotherVM(t *testing.T) {
	const coldFor = 3 * time.Second
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	cold := listing("t3")
	cold.ColdUntil, cold.ColdRemaining = now.Add(coldFor), coldFor
	b.SetTargets(now, services(10), []TargetSpec{cold}, nil)
	b.services[serviceName].targets["t3"].cold.rate = 0
	d, w := b.Place(now, request(now, class))
	if w != nil || d.Target != nil || d.RetryAfter > maxRetryAfter {
		t.Errorf("%+v, queued %v; want a refusal that tells to return within %s", d, w != nil, maxRetryAfter)
	}
}

// A high limit must not hide that all slots are taken: requests would wait in vain.
func TestHighLimitDoesNotHideTakenSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	b.SetRateLimits(now, func(*Target) RateLimit { return &fakeLimit{rate: 1000, tokens: 1000} })
	queued := 0
	for range 100 {
		if _, w := b.Place(now, request(now, class)); w != nil {
			queued++
		}
	}
	// Four slots take a request each 0.4 s at best, and latestEnd is at 1.2 s.
	if queued > 12 {
		t.Errorf("%d requests wait for four slots", queued)
	}
}
