package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// newBalancer returns a balancer with two targets of two slots in the local region.
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

// An ejected target gets no requests until a probe succeeds. Probes do not overlap, and
// the pause between them grows while they fail.
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
		t.Fatalf("due probes %v", due)
	}
	if due := b.DueProbes(now.Add(100 * time.Millisecond)); len(due) != 0 {
		t.Fatal("second probe due while one is running")
	}
	b.RecordProbe(now, bad, false, 0)
	if due := b.DueProbes(now.Add(minEjection)); len(due) != 0 {
		t.Error("no backoff after a failed probe")
	}
	now = now.Add(2 * minEjection)
	if due := b.DueProbes(now); len(due) != 1 {
		t.Fatal("no probe due after the backoff")
	}
	b.RecordProbe(now, bad, true, time.Second)
	if !bad.available(now) || !now.Before(bad.coldUntil) {
		t.Error("not readmitted, or reported cold period ignored")
	}
}

// An evacuated failure domain gets no requests, and its targets count as cold when it is
// used again.
func TestEvacuatedTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	list := []TargetSpec{listing("t1"), listing("t2")}
	b.SetTargets(now, services(5), list, map[string]bool{"a1": true})
	if d, w := b.Place(now, request(now, class)); w != nil || d.Target != nil || d.Reason != NoTarget {
		t.Fatalf("decision %+v in an evacuated failure domain", d)
	}
	b.SetTargets(now, services(5), list, nil)
	b.SetVMs([]string{"vm"})
	for _, target := range b.services[serviceName].targets {
		if !now.Before(target.coldUntil) {
			t.Error("not treated as cold")
		}
	}
}

// Cancel must remove a queued request, or return its decision if there is one already.
func TestCancelledWaiterLeavesTheQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(100*time.Millisecond)
	var assigned []Decision
	var waiting []*Waiter
	const capacity, queued = 2 * (2 + targetQueue), 2
	for range capacity + queued {
		d, w := b.Place(now, request(now, class))
		if w != nil {
			waiting = append(waiting, w)
			continue
		}
		assigned = append(assigned, d)
	}
	if len(assigned) != capacity || len(waiting) != queued {
		t.Fatalf("%d requests assigned, %d queued", len(assigned), len(waiting))
	}
	if _, decided := b.Cancel(waiting[0]); decided || b.Waiting() != 1 {
		t.Fatal("cancelled request is still in the queue")
	}
	b.Done(now, assigned[0], class, Answered, 10*time.Millisecond)
	if d, decided := b.Cancel(waiting[1]); !decided || d.Target == nil {
		t.Fatal("decision was lost")
	}
}

// newFilledBalancer returns a balancer whose targets are filled by another VM, and a queued
// request.
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

// requireDecided fails unless a queued request has been assigned to a target.
func requireDecided(t *testing.T, w *Waiter) {
	t.Helper()
	select {
	case d := <-w.Decided():
		if d.Target == nil {
			t.Error("queued request was rejected")
		}
	default:
		t.Error("request still waits because of outdated counts")
	}
}

// In-flight counts of another VM must be respected until they expire.
func TestPeerCountsAreUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	b, w := newFilledBalancer(t, now)
	now = now.Add(peerTTL)
	b.SetPeerReport(now, "third", &PeerReport{At: now})
	requireDecided(t, w)
}

// A VM must subtract its own last report from region sums, or its requests count twice.
func TestRegionSumsExcludeOwnReport(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(100*time.Millisecond)
	if d, w := b.Place(now, request(now, class)); w != nil || d.Target == nil {
		t.Fatal("request was not assigned")
	}
	inFlight, demand := b.Report(now)
	for key := range inFlight {
		inFlight = map[uint32]int{key: inFlight[key] + 1, key + 1: 4}
	}
	for service := range demand {
		demand = map[string]float64{service: demand[service] + 3}
	}
	b.SetRegionSums(now, "near", inFlight, demand, nil)
	others := b.peers["near"]
	total := 0
	for _, n := range others.InFlight {
		total += n
	}
	if total != 1+4 {
		t.Errorf("%d requests of other VMs, want 5", total)
	}
	for service, slots := range others.Demand[b.options.Region] {
		if slots < 2.99 || slots > 3.01 {
			t.Errorf("%s: other VMs have a demand of %.2f slots, want 3", service, slots)
		}
	}
}

// Counts must expire on a tick even if no VM reports any more, or targets stay full forever.
func TestCountsOfUnreachableVMsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	b, w := newFilledBalancer(t, now)
	b.Tick(now.Add(peerTTL))
	requireDecided(t, w)
}

// Remote counts must equal the sum of the valid reports after any sequence of reports,
// expiries and target changes.
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
				t.Fatalf("%s: remote count %d, want %d", target.ID, target.remote.n, want)
			}
		}
	}
}

// A changed cold rate must apply to existing targets.
func TestColdRateChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBalancer(now)
	b.SetVMs([]string{"vm"})
	for _, rate := range []float64{2, 6, 0} {
		b.SetTargets(now, services(rate), []TargetSpec{listing("t1")}, nil)
		target := b.services[serviceName].targets["t1"]
		if want := b.coldRate(b.services[serviceName], target); target.cold.rate != want || rate > 0 && want != rate {
			t.Errorf("rate %v: share %v, want %v", rate, target.cold.rate, want)
		}
	}
}

// A target that restarts under the same ID must lose its warm keys and its ejection.
func TestRestartedTargetIsReset(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	r := request(now, class)
	r.Key, r.HasKey = 7, true
	before, _ := b.Place(now, r)
	b.Done(now, before, class, Answered, 10*time.Millisecond)
	again, _ := b.Place(now, r)
	if !again.Warm {
		t.Fatal("target is not warm for the key that it handled")
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
		t.Errorf("%d requests in flight at the restarted target, want 1", n)
	}
}

// Targets of an unknown failure domain or service must not count as capacity.
func TestUnknownTargetsGetNoRequests(t *testing.T) {
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

// Weights must move faster after a rejection, but within the permitted shift per window.
func TestWeightsMoveFasterAfterRejections(t *testing.T) {
	const maxShift, window = 0.15, 2.0
	now := time.Unix(1000, 0)
	b, s := newBalancer(now), newService(site.Service{})
	if got := b.shiftRate(now, s); got != baseShiftRate {
		t.Errorf("shift rate %v per second without rejections", got)
	}
	s.rejection(now, "a", 0, 0)
	if got := b.shiftRate(now, s); got != rejectionShiftRate || got*window >= maxShift {
		t.Errorf("shift rate %v per second after a rejection", got)
	}
	if got := b.shiftRate(now.Add(rejectionWindow), s); got != baseShiftRate {
		t.Errorf("shift rate %v per second after the rejection window", got)
	}
}

// Targets that refuse or fail requests must not be ejected, or their slots stay idle.
func TestFailingTargetIsNotEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	for _, outcome := range []Outcome{Shed, Failed} {
		for range 10 {
			d, w := b.Place(now, request(now, class))
			if w != nil {
				t.Fatalf("request was queued after outcome %d", outcome)
			}
			b.Done(now, d, class, outcome, 10*time.Millisecond)
		}
	}
	if due := b.DueProbes(now.Add(maxEjection)); len(due) != 0 {
		t.Errorf("%d targets are due for a probe", len(due))
	}
}

// A target whose callers time out must be avoided although it never responds. Callers that
// disconnect early must not count against it.
func TestTargetWithTimeoutsIsAvoided(t *testing.T) {
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
			t.Fatal("target is avoided after early disconnects")
		}
	}
	const maxTimeouts = 3
	timeouts := 0
	for timeouts <= maxTimeouts && cancelled(2*time.Second) == first.Target {
		timeouts++
	}
	if timeouts > maxTimeouts {
		t.Errorf("target still used after %d consecutive timeouts", timeouts)
	}
}
