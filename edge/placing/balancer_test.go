package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// newBalancer has two targets in the own region.
func newBalancer(now time.Time) *Balancer {
	b := New(Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		RTT: func(string) time.Duration { return time.Millisecond },
	})
	b.SetTargets(now, services(0), []TargetSpec{listing("t1"), listing("t2")}, nil)
	return b
}

func services(coldRate float64) map[string]site.Service {
	return map[string]site.Service{serviceName: {Name: serviceName, ColdRate: coldRate, ColdTime: 3 * time.Second}}
}

func listing(id string) TargetSpec {
	return TargetSpec{Target: site.Target{ID: id, Service: serviceName, Zone: "a1", Slots: 2}}
}

func request(now time.Time, class *Class) *Request {
	return &Request{Service: serviceName, Class: class, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

// A target cannot be reached. It gets nothing until one probe, and only one at a time,
// has found it well; the probes of a dead one become rare.
func TestEjectedTargetIsProbedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	d, _ := b.Place(now, request(now, class))
	b.Done(now, d, class, Unreachable, 0)
	bad := d.Target
	for range 6 {
		d, w := b.Place(now, request(now, class))
		if w == nil && d.Target == bad {
			t.Fatal("an ejected target got a request")
		}
	}
	now = now.Add(minEjection)
	if due := b.DueProbes(now); len(due) != 1 || due[0] != bad {
		t.Fatalf("suspects %v", due)
	}
	if due := b.DueProbes(now.Add(100 * time.Millisecond)); len(due) != 0 {
		t.Fatal("probed again while a probe is under way")
	}
	b.RecordProbe(now, bad, false, 0)
	if due := b.DueProbes(now.Add(minEjection)); len(due) != 0 {
		t.Error("no longer pause after a failed probe")
	}
	now = now.Add(2 * minEjection)
	if due := b.DueProbes(now); len(due) != 1 {
		t.Fatal("never probed again")
	}
	b.RecordProbe(now, bad, true, time.Second)
	if !bad.available(now) || !now.Before(bad.coldUntil) {
		t.Error("not readmitted, or not as cold as it said")
	}
}

// Operators empty a failure domain and take it back. Nothing is sent there meanwhile, and
// its targets may have become cold.
func TestEvacuatedTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	list := []TargetSpec{listing("t1"), listing("t2")}
	b.SetTargets(now, services(5), list, map[string]bool{"a1": true})
	if d, w := b.Place(now, request(now, class)); w != nil || d.Target != nil || d.Reason != NoTarget {
		t.Fatalf("decision %+v in an evacuated domain", d)
	}
	b.SetTargets(now, services(5), list, nil)
	b.SetVMs([]string{"vm"})
	for _, target := range b.services[serviceName].targets {
		if !now.Before(target.coldUntil) {
			t.Error("not treated as cold")
		}
	}
}

// A waiting caller leaves. Its place is free, and a decision that came in the same moment
// is handed back to be ended.
func TestCancelledWaiterLeavesTheQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(100*time.Millisecond)
	var given []Decision
	var waiting []*Waiter
	const fit, wait = 2 * (2 + targetQueue), 2
	for range fit + wait {
		d, w := b.Place(now, request(now, class))
		if w != nil {
			waiting = append(waiting, w)
			continue
		}
		given = append(given, d)
	}
	if len(given) != fit || len(waiting) != wait {
		t.Fatalf("%d given, %d wait", len(given), len(waiting))
	}
	if _, decided := b.Cancel(waiting[0]); decided || b.Waiting() != 1 {
		t.Fatal("the queue kept a caller that left")
	}
	b.Done(now, given[0], class, Answered, 10*time.Millisecond)
	if d, decided := b.Cancel(waiting[1]); !decided || d.Target == nil {
		t.Fatal("a decision was lost")
	}
}

// newFilledBalancer returns a board whose targets another VM has filled, and a request that
// waits there.
func newFilledBalancer(t *testing.T, now time.Time) (*Balancer, *Waiter) {
	t.Helper()
	b, class := newBalancer(now), NewClass(100*time.Millisecond)
	full := map[uint32]int{TargetKey(HashOf("t1")): 2 + targetQueue, TargetKey(HashOf("t2")): 2 + targetQueue}
	b.SetPeerReport(now, "other", &PeerReport{InFlight: full, At: now})
	_, w := b.Place(now, request(now, class))
	if w == nil {
		t.Fatal("a full target got a request")
	}
	return b, w
}

// requireDecided fails unless a request that waited has its target now.
func requireDecided(t *testing.T, w *Waiter) {
	t.Helper()
	select {
	case d := <-w.Decided():
		if d.Target == nil {
			t.Error("refused")
		}
	default:
		t.Error("still waits for VMs that are silent")
	}
}

// Another VM fills the targets. This VM sends nothing there until its counts end, or are
// too old to be trusted.
func TestOthersCountsAreUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	b, w := newFilledBalancer(t, now)
	now = now.Add(peerTTL)
	b.SetPeerReport(now, "third", &PeerReport{At: now})
	requireDecided(t, w)
}

// A listener tells all VMs the same sums. Each takes out what it told last; its own requests
// would count twice else, and it would take targets for full that it fills itself.
func TestOwnPartOfASumDoesNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(100*time.Millisecond)
	if d, w := b.Place(now, request(now, class)); w != nil || d.Target == nil {
		t.Fatal("not placed")
	}
	inFlight, needs := b.Report(now)
	for key := range inFlight {
		inFlight = map[uint32]int{key: inFlight[key] + 1, key + 1: 4}
	}
	for service := range needs {
		needs = map[string]float64{service: needs[service] + 3}
	}
	b.SetRegionSums(now, "near", inFlight, needs)
	others := b.peers["near"]
	total := 0
	for _, n := range others.InFlight {
		total += n
	}
	if total != 1+4 {
		t.Errorf("%d requests of others, want 5", total)
	}
	for service, slots := range others.Demand[b.options.Region] {
		if slots < 2.99 || slots > 3.01 {
			t.Errorf("%s: others need %.2f slots, want 3", service, slots)
		}
	}
}

// All other VMs are cut off at once, and no report comes any more. Their requests must not
// count for good: this VM would take its targets for full and refuse everybody.
func TestCountsOfSilentVMsEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	b, w := newFilledBalancer(t, now)
	b.Tick(now.Add(peerTTL))
	requireDecided(t, w)
}

// VMs report, change what they report, fall silent and are forgotten in any order, and
// targets come and go. The counts at each target are always the sum of the last reports.
func TestCountsAreTheSumOfTheLastReports(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	b := newBalancer(now)
	for range 2000 {
		now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
		p := &PeerReport{InFlight: make(map[uint32]int), At: now.Add(-time.Duration(r.IntN(1500)) * time.Millisecond)}
		for range r.IntN(3) {
			p.InFlight[TargetKey(HashOf(fmt.Sprintf("t%d", r.IntN(4))))] = r.IntN(5)
		}
		if r.IntN(10) == 0 {
			p = nil
		}
		b.SetPeerReport(now, fmt.Sprint("vm", r.IntN(4)), p)
		var list []TargetSpec
		for i := range r.IntN(5) {
			list = append(list, listing(fmt.Sprintf("t%d", i)))
		}
		b.SetTargets(now, services(0), list, nil)
		for _, target := range b.services[serviceName].targets {
			want := 0
			for _, p := range b.peers {
				want += p.InFlight[TargetKey(target.hash)]
			}
			if target.remote.n != want {
				t.Fatalf("%s: %d requests of others, want %d", target.ID, target.remote.n, want)
			}
		}
	}
}

// The rate that cold targets bear is changed while they are known.
func TestColdRateChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBalancer(now)
	b.SetVMs([]string{"vm"})
	for _, rate := range []float64{2, 6, 0} {
		b.SetTargets(now, services(rate), []TargetSpec{listing("t1")}, nil)
		target := b.services[serviceName].targets["t1"]
		if want := b.coldRate(b.services[serviceName], target); target.cold.rate != want || rate > 0 && want != rate {
			t.Errorf("rate %v: part %v, want %v", rate, target.cold.rate, want)
		}
	}
}

// A target restarts under its id: it knows no keys and is well. Taken for the one
// before it would stay ejected, and its callers would wait for cold runs that are
// expected to be warm.
func TestRestartedTargetBeginsAnew(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	r := request(now, class)
	r.Key, r.HasKey = 7, true
	before, _ := b.Place(now, r)
	b.Done(now, before, class, Answered, 10*time.Millisecond)
	again, _ := b.Place(now, r)
	if !again.Warm {
		t.Fatal("the key is not known where it ran")
	}
	restarted := listing(before.Target.ID)
	restarted.StartedMillis = 5
	b.SetTargets(now, services(0), []TargetSpec{restarted}, nil)
	b.Done(now, again, class, Unreachable, 0)
	after, w := b.Place(now, r)
	if w != nil || after.Target == nil || after.Target == before.Target || after.Warm {
		t.Fatalf("decision %+v, waiter %v", after, w)
	}
	if n := after.Target.local; n != 1 {
		t.Errorf("%d requests in flight at the target that started anew", n)
	}
}

// A registration names a failure domain or a service that nobody knows. It would count as
// the capacity of a region that does not exist and draw a share of all requests.
func TestTargetsOfUnknownPlacesGetNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	elsewhere, other := listing("t3"), listing("t4")
	elsewhere.Zone, other.Service = "nowhere", "unheard"
	b.SetTargets(now, services(0), []TargetSpec{elsewhere, other}, nil)
	d, _ := b.Place(now, request(now, class))
	if d.Target != nil || d.Reason != NoTarget {
		t.Errorf("decision %+v", d)
	}
}

// The callers of one region surge and are refused. The weights follow twice as fast as on
// a calm day, so that the surge is served elsewhere while it lasts, and still below the cap.
func TestWeightsMoveFasterWhileCallersAreRefused(t *testing.T) {
	const cap, window = 0.15, 2.0
	now := time.Unix(1000, 0)
	b, s := newBalancer(now), newService(site.Service{})
	if got := b.shiftRate(now, s); got != baseShiftRate {
		t.Errorf("%v a second on a calm day", got)
	}
	s.refusal(now, "a", 0, 0)
	if got := b.shiftRate(now, s); got != refusalShiftRate || got*window >= cap {
		t.Errorf("%v a second after a refusal", got)
	}
	if got := b.shiftRate(now.Add(refusalWindow), s); got != baseShiftRate {
		t.Errorf("%v a second when none is refused any more", got)
	}
}

// Targets refuse half of their requests for a while. Ejected after three refusals in a row
// they stood empty by turns, and callers were refused for want of slots.
func TestTargetThatRefusesIsNotEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	for _, end := range []Outcome{Shed, Failed} {
		for range 10 {
			d, w := b.Place(now, request(now, class))
			if w != nil {
				t.Fatalf("no target for a request after failures of kind %d", end)
			}
			b.Done(now, d, class, end, 10*time.Millisecond)
		}
	}
	if suspects := b.DueProbes(now.Add(maxEjection)); len(suspects) != 0 {
		t.Errorf("%d targets are to be probed", len(suspects))
	}
}

// A target becomes so slow that its callers time out. No answer ever showed that it is
// slow, and all requests for its keys timed out until it was well again. A caller that
// leaves at once shows nothing.
func TestTargetThatNobodyWaitsForIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newFourTargetBalancer(now, "vm"), NewClass(800*time.Millisecond)
	first, _ := b.Place(now, keyRequest(now, class, 7))
	b.Done(now, first, class, Answered, 320*time.Millisecond)
	cancelled := func(after time.Duration) *Target {
		d, _ := b.Place(now, keyRequest(now, class, 7))
		now = now.Add(after)
		b.Done(now, d, class, Cancelled, after)
		return d.Target
	}
	for range 20 {
		if cancelled(10*time.Millisecond) != first.Target {
			t.Fatal("avoided as callers left early")
		}
	}
	const most = 3
	timeouts := 0
	for timeouts <= most && cancelled(2*time.Second) == first.Target {
		timeouts++
	}
	if timeouts > most {
		t.Errorf("still used though %d callers in a row timed out there", timeouts)
	}
}
