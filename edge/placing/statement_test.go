package placing

import (
	"fmt"
	"testing"
	"time"
)

// firstStart returns the incarnation of listing(id).
func firstStart(id string) uint64 {
	l := listing(id)
	return incarnationOf(&l.Target)
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	leaving := firstStart("t1")
	if !b.TargetLeaves(now, leaving) || b.TargetLeaves(now, leaving) {
		t.Error("the first statement is not told from later ones")
	}
	for i := range 20 {
		d, w := b.Place(now, keyRequest(now, class, uint64(i)*0x9e3779b97f4a7c15))
		if w != nil || d.Target.ID != "t2" {
			t.Fatalf("request %d: %+v", i, d)
		}
		b.Done(now, d, class, Answered, 20*time.Millisecond)
	}
}

// A target that has stated that it leaves must not be used again because its registration lapsed and
// came back, nor because other targets changed; only its next start, or a registration that is newer than
// one which told of the drain, puts it back.
func TestLeavingIsKeptUntilTheNextStart(t *testing.T) {
	now := time.Unix(1000, 0)
	restarted, draining := listing("t1"), listing("t1")
	restarted.StartedMillis, draining.Draining = 5, true
	for name, c := range map[string]struct {
		lists  [][]TargetSpec
		usable bool
	}{
		"other targets change":           {[][]TargetSpec{{listing("t1"), listing("t2"), listing("t3")}}, false},
		"registration lapses":            {[][]TargetSpec{{listing("t2")}, {listing("t1"), listing("t2")}}, false},
		"registration tells drain":       {[][]TargetSpec{{draining, listing("t2")}}, false},
		"drain is told and withdrawn":    {[][]TargetSpec{{draining, listing("t2")}, {listing("t1"), listing("t2")}}, true},
		"next start":                     {[][]TargetSpec{{restarted, listing("t2")}}, true},
		"next start after a lapse":       {[][]TargetSpec{{listing("t2")}, {restarted, listing("t2")}}, true},
		"statement before registration":  {[][]TargetSpec{{listing("t1")}}, false},
		"evacuation begins and is ended": {[][]TargetSpec{{listing("t1"), listing("t2")}}, false},
	} {
		b := newBalancer(now)
		if name == "statement before registration" {
			b.SetTargets(now, services(0), nil, nil)
		}
		b.TargetLeaves(now, firstStart("t1"))
		if name == "evacuation begins and is ended" {
			b.SetTargets(now, services(0), c.lists[0], map[string]bool{"a1": true})
		}
		for _, list := range c.lists {
			b.SetTargets(now, services(0), list, nil)
		}
		if got := b.services[serviceName].targets["t1"].usable; got != c.usable {
			t.Errorf("%s: usable %v", name, got)
		}
	}
}

// A statement of an earlier start that arrives late must not concern the target that runs now.
func TestStatementOfAnEarlierStartIsVoid(t *testing.T) {
	now := time.Unix(1000, 0)
	b, restarted := newBalancer(now), listing("t1")
	restarted.StartedMillis = 5
	b.SetTargets(now, services(0), []TargetSpec{restarted, listing("t2")}, nil)
	b.TargetLeaves(now, firstStart("t1"))
	b.TargetRests(now, firstStart("t1"), time.Second)
	if leaving, resting := b.Statements(now); leaving+resting != 0 {
		t.Errorf("%d targets leave, %d rest", leaving, resting)
	}
}

// balancerWithQueue returns a balancer whose targets are full and whose queue has three requests.
func balancerWithQueue(now time.Time) (*Balancer, *Class, []*Waiter) {
	b, class := newBalancer(now), NewClass(100*time.Millisecond)
	var queued []*Waiter
	for range 2*(2+targetQueue) + 3 {
		if _, w := b.Place(now, request(now, class)); w != nil {
			queued = append(queued, w)
		}
	}
	return b, class, queued
}

// Requests in the queue must be refused at once when the last target leaves, not at their deadline.
func TestQueuedRequestsAreRefusedWhenAllTargetsLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class, queued := balancerWithQueue(now)
	for _, id := range []string{"t1", "t2"} {
		b.TargetLeaves(now, firstStart(id))
	}
	if len(queued) != 3 || b.Waiting() != 0 {
		t.Fatalf("%d requests were queued, %d still wait", len(queued), b.Waiting())
	}
	for _, w := range queued {
		if d := <-w.Decided(); d.Target != nil || d.Reason != AllLeaving || d.RetryAfter <= 0 {
			t.Errorf("%+v", d)
		}
	}
	if d, w := b.Place(now, request(now, class)); w != nil || d.Reason != AllLeaving {
		t.Errorf("new request: %+v", d)
	}
}

// What is kept of targets must not grow with the number of their starts.
func TestStatementsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBalancer(now)
	for incarnation := range uint64(3 * maxStatements) {
		b.TargetLeaves(now, incarnation)
		b.TargetRests(now, incarnation, time.Second)
	}
	if n := len(b.statements.byIncarnation); n != maxStatements || len(b.statements.order) != n {
		t.Errorf("%d statements, %d in order", n, len(b.statements.order))
	}
}

// BenchmarkPlaceBesideLeavingTarget places requests while a quarter of the targets have stated that they leave.
func BenchmarkPlaceBesideLeavingTarget(bench *testing.B) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	var list []TargetSpec
	for i := range 16 {
		list = append(list, listing(fmt.Sprint("t", i)))
	}
	b.SetTargets(now, services(0), list, nil)
	for i := range 4 {
		b.TargetLeaves(now, incarnationOf(&list[i].Target))
	}
	r := request(now, class)
	bench.ReportAllocs()
	for bench.Loop() {
		d, _ := b.Place(now, r)
		b.Done(now, d, class, Answered, time.Millisecond)
	}
}

// restingBalancer returns a balancer whose two targets rest for the given times.
func restingBalancer(now time.Time, first, second time.Duration) *Balancer {
	b := newBalancer(now)
	b.TargetRests(now, firstStart("t1"), first)
	b.TargetRests(now, firstStart("t2"), second)
	return b
}

// While one target rests the other one serves, also the keys that the first one is warm for, and no
// request waits for the first.
func TestOtherTargetsServeDuringRest(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	for i := range 40 {
		if i == 20 {
			b.TargetRests(now, firstStart("t1"), 3*time.Second)
		}
		d, w := b.Place(now, keyRequest(now, class, uint64(i%20)*0x9e3779b97f4a7c15))
		if w != nil || i >= 20 && d.Target.ID != "t2" {
			t.Fatalf("request %d: %+v", i, d)
		}
		b.Done(now, d, class, Answered, 20*time.Millisecond)
	}
}

// A rest lasts to its end, and a later answer that asks for less does not shorten it.
func TestRestIsNotShortened(t *testing.T) {
	now := time.Unix(1000, 0)
	b := restingBalancer(now, 3*time.Second, 2*maxRest)
	if b.TargetRests(now.Add(time.Second), firstStart("t1"), time.Second) {
		t.Error("a rest that ends earlier is taken for a longer one")
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 2}, {2900 * time.Millisecond, 2}, {3 * time.Second, 1}, {maxRest, 0}} {
		if _, resting := b.Statements(now.Add(c.after)); resting != c.want {
			t.Errorf("after %s %d targets rest, want %d", c.after, resting, c.want)
		}
	}
}

// A registration that lapses and comes back must not end a rest.
func TestRestOutlivesRegistration(t *testing.T) {
	now := time.Unix(1000, 0)
	b := restingBalancer(now, 3*time.Second, 3*time.Second)
	b.SetTargets(now, services(0), nil, nil)
	b.SetTargets(now, services(0), []TargetSpec{listing("t1"), listing("t2")}, nil)
	if _, resting := b.Statements(now); resting != 2 {
		t.Errorf("%d targets rest", resting)
	}
}

// While all targets rest for longer than a request may wait it must be refused at once, and its caller
// told to come back when the first target is back, one caller after the other.
func TestRequestsAreRefusedWhileAllTargetsRest(t *testing.T) {
	now := time.Unix(1000, 0)
	const first = 3 * time.Second
	b, class := restingBalancer(now, 9*time.Second, first), NewClass(time.Second)
	last := time.Duration(0)
	for i := range 20 {
		r := request(now, class)
		r.Deadline = now.Add(20 * time.Second)
		r.Objective = now.Add(time.Second)
		d, w := b.Place(now, r)
		if w != nil || d.Target != nil || d.Reason != AtRest {
			t.Fatalf("request %d: %+v", i, d)
		}
		if d.RetryAfter < first || d.RetryAfter <= last {
			t.Errorf("request %d: told %s after one that was told %s", i, d.RetryAfter, last)
		}
		last = d.RetryAfter
	}
	if latest := first + 10*class.serviceTime(false); last > latest {
		t.Errorf("the 20th caller is told %s, two slots have served all by %s", last, latest)
	}
}

// A request that can still meet its objective after a short rest waits for it.
func TestRequestWaitsForShortRest(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := restingBalancer(now, 50*time.Millisecond, 3*time.Second), NewClass(100*time.Millisecond)
	_, w := b.Place(now, request(now, class))
	if w == nil {
		t.Fatal("refused")
	}
	b.Tick(now.Add(49 * time.Millisecond))
	if b.Waiting() != 1 {
		t.Fatal("decided before the end of the rest")
	}
	b.Tick(now.Add(51 * time.Millisecond))
	select {
	case d := <-w.Decided():
		if d.Target == nil || d.Target.ID != "t1" {
			t.Errorf("%+v", d)
		}
	default:
		t.Error("still waits after the rest")
	}
}

// Requests that wait must be refused at once when a rest begins that is longer than they may wait.
func TestQueuedRequestsAreRefusedWhenAllTargetsRest(t *testing.T) {
	now := time.Unix(1000, 0)
	b, _, queued := balancerWithQueue(now)
	for _, id := range []string{"t1", "t2"} {
		b.TargetRests(now, firstStart(id), 5*time.Second)
	}
	if len(queued) != 3 || b.Waiting() != 0 {
		t.Fatalf("%d requests were queued, %d still wait", len(queued), b.Waiting())
	}
	for _, w := range queued {
		if d := <-w.Decided(); d.Target != nil || d.Reason != AtRest || d.RetryAfter < 5*time.Second {
			t.Errorf("%+v", d)
		}
	}
}
