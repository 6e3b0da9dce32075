package placing

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/edge/targetload"
)

// statedBalancer returns a balancer that uses stated loads, and its target t1 with two slots.
func statedBalancer(now time.Time) (*Balancer, *Target) {
	b := newBalancer(now)
	b.options.Policy.StatedLoad = true
	return b, b.services[serviceName].targets["t1"]
}

func stated(running, waiting, slots int, pace float64) site.Load {
	return site.Load{Known: true, Running: running, Waiting: waiting, Slots: slots, Pace: pace}
}

// A target that states three figures, or any while the part is off, must be treated as before.
func TestLoadWithoutPaceChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	b, target := statedBalancer(now)
	b.TargetStatesLoad(now, target, stated(9, 9, 1, 0), true)
	b.options.Policy.StatedLoad = false
	b.TargetStatesLoad(now, target, stated(9, 9, 1, 2.5), true)
	b.SetSlowTargets(now, []targetload.Slow{{Key: TargetKey(target.hash), Pace: 2.5}})
	if target.load != nil || target.Slots != 2 || b.SlowTargets(now, true) != nil {
		t.Errorf("load %+v, %d slots", target.load, target.Slots)
	}
}

// A network partition: reports of the other half of the fleet do not come, but the target states its
// requests. A wrong count must not last either.
func TestStatedRequestsOfVMsThatAreNotHeard(t *testing.T) {
	now := time.Unix(1000, 0)
	b, target := statedBalancer(now)
	b.TargetStatesLoad(now, target, stated(2, 1, 2, 1), false)
	if target.inFlight() < 2 {
		t.Errorf("%d requests in flight, the target stated 3", target.inFlight())
	}
	b.Tick(now.Add(targetload.MaxHold))
	if target.inFlight() != 0 {
		t.Errorf("%d requests in flight long after the answer", target.inFlight())
	}
}

// Stated counts replace older reports of other VMs, and newer reports replace them.
func TestNewestSourceOfCountsDecides(t *testing.T) {
	now := time.Unix(1000, 0)
	b, target := statedBalancer(now)
	report := func(n int, at time.Time) {
		b.SetPeerReport(at, "other", &PeerReport{
			InFlight: map[uint32]int{TargetKey(target.hash): n}, Demand: map[string]map[string]float64{"a": {}}, At: at,
		})
	}
	report(2, now)
	now = now.Add(100 * time.Millisecond)
	b.TargetStatesLoad(now, target, stated(0, 0, 2, 1), false)
	if target.inFlight() != 0 {
		t.Errorf("%d requests in flight at an idle target", target.inFlight())
	}
	report(1, now.Add(2*directReportAge))
	if target.inFlight() != 1 {
		t.Errorf("%d requests in flight, another VM has reported one since", target.inFlight())
	}
}

// A target that states fewer requests than this VM alone has there must not hide the requests that other VMs
// report: it would get more than it may have. The rest of the statement counts.
func TestContradictoryCountLeavesReports(t *testing.T) {
	now := time.Unix(1000, 0)
	b, target := statedBalancer(now)
	target.local = 3
	b.SetPeerReport(now, "other", &PeerReport{
		InFlight: map[uint32]int{TargetKey(target.hash): 6}, Demand: map[string]map[string]float64{"a": {}}, At: now,
	})
	for i, l := range []site.Load{stated(9, 0, 2, 1), stated(0, 0, 2, 1)} {
		b.TargetStatesLoad(now.Add(time.Duration(i)*time.Millisecond), target, l, false)
		if target.canAccept(now) {
			t.Errorf("%+v: gets one more with %d in flight", l, target.inFlight())
		}
	}
	b.TargetStatesLoad(now.Add(2*time.Millisecond), target, stated(0, 0, 3, 2.5), false)
	if pace, _ := target.load.lastPace(now); target.Slots != 3 || pace != 2.5 {
		t.Errorf("%d slots, pace %v", target.Slots, pace)
	}
}

// A target that the store lists again with another start has stated nothing.
func TestRestartedTargetHasStatedNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	b, target := statedBalancer(now)
	b.TargetStatesLoad(now, target, stated(2, 2, 1, 2.5), false)
	restarted := listing("t1")
	restarted.StartedMillis = 7
	b.SetTargets(now, services(0), []TargetSpec{restarted, listing("t2")}, nil)
	b.TargetStatesLoad(now, target, stated(2, 2, 1, 2.5), false)
	if next := b.services[serviceName].targets["t1"]; next.load != nil || next.Slots != 2 || next.inFlight() != 0 {
		t.Errorf("load %+v, %d slots, %d in flight", next.load, next.Slots, next.inFlight())
	}
}

// A stated number of slots holds until another one is registered; an implausible one does not count.
func TestStatedSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	b, target := statedBalancer(now)
	for _, c := range []struct{ stated, want int }{{1, 1}, {4, 4}, {1000, 2}, {1, 1}} {
		now = now.Add(time.Millisecond)
		b.TargetStatesLoad(now, target, stated(0, 0, c.stated, 1), true)
		b.SetTargets(now, services(0), []TargetSpec{listing("t1"), listing("t2")}, nil)
		if target.Slots != c.want {
			t.Errorf("stated %d slots: %d used, want %d", c.stated, target.Slots, c.want)
		}
	}
	resized := listing("t1")
	resized.Slots = 3
	b.SetTargets(now, services(0), []TargetSpec{resized, listing("t2")}, nil)
	if target.Slots != 3 {
		t.Errorf("%d slots, registered with 3 since the statement", target.Slots)
	}
}

// A slow pace makes the expected time longer, also at a VM that another one told, until it is old.
func TestSlowPaceIsExpectedWhileItHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	class := NewClass(time.Second)
	b, target := statedBalancer(now)
	other, same := statedBalancer(now)
	usual := same.cost(now, class, true, other.services[serviceName].averagesFor(request(now, class)))
	b.TargetStatesLoad(now, target, stated(0, 0, 2, 2.5), false)
	other.SetSlowTargets(now, b.SlowTargets(now, false))
	if told := other.SlowTargets(now, false); len(told) != 0 {
		t.Errorf("%v told again by a VM that was told", told)
	}
	for _, c := range []struct {
		b    *Balancer
		t    *Target
		age  time.Duration
		slow bool
	}{{b, target, 0, true}, {other, same, 0, true}, {b, target, 3 * time.Second, false}, {other, same, 3 * time.Second, false}} {
		at := now.Add(c.age)
		cost := c.t.cost(at, class, true, c.b.services[serviceName].averagesFor(request(at, class)))
		if slow := cost > usual*5/4; slow != c.slow {
			t.Errorf("after %v: expected %v, %v at the usual pace", c.age, cost, usual)
		}
	}
}

// A target whose runs take the usual time while it states a far wrong pace must not change the service times
// that all targets are expected to have.
func TestWrongPaceLeavesServiceTimes(t *testing.T) {
	for _, pace := range []float64{0.1, 10} {
		now := time.Unix(1000, 0)
		class := NewClass(time.Second)
		b, target := statedBalancer(now)
		usual := class.warm
		for range 100 {
			target.local++
			now = now.Add(usual)
			b.TargetStatesLoad(now, target, stated(0, 0, 2, pace), true)
			b.Done(now, Decision{Target: target, Warm: true}, class, Answered, usual+target.rtt)
		}
		if class.warm < usual*9/10 || class.warm > usual*11/10 {
			t.Errorf("pace %v: expected %v, all runs took %v", pace, class.warm, usual)
		}
	}
}

// A message must reach exactly the targets that are listed now, all that share a key among them.
func TestSlowTargetsAreFoundByKey(t *testing.T) {
	now := time.Unix(1000, 0)
	b, target := statedBalancer(now)
	key := TargetKey(target.hash)
	twin := b.services[serviceName].targets["t2"]
	b.byKey[key] = append(b.byKey[key], twin)
	b.SetSlowTargets(now, []targetload.Slow{{Key: key, Pace: 2.5}, {Key: key + 1, Pace: 2.5}, {Key: TargetKey(twin.hash), Pace: -1}})
	for _, told := range []*Target{target, twin} {
		if pace, _ := told.load.lastPace(now); pace != 2.5 {
			t.Errorf("%s: pace %v", told.ID, pace)
		}
	}
	restarted := listing("t1")
	restarted.StartedMillis = 7
	b.SetTargets(now, services(0), []TargetSpec{restarted}, nil)
	if len(b.byKey) != 1 || len(b.byKey[key]) != 1 || b.byKey[key][0] != b.services[serviceName].targets["t1"] {
		t.Errorf("index %v after a restart and a removal", b.byKey)
	}
}

// One request whose work is long by itself must not make a target that states the usual pace look slow;
// a second one must.
func TestSingleLongRequestIsNotExpectedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	class := NewClass(time.Second)
	b, target := statedBalancer(now)
	for i := range 2 {
		d := Decision{Target: target, Warm: true}
		target.local++
		now = now.Add(7 * class.warm)
		b.TargetStatesLoad(now, target, stated(0, 0, 2, 1), true)
		b.Done(now, d, class, Answered, 7*class.warm)
		cost := 2 * class.warm
		if slow := target.expected(now, cost) > cost*9/10; slow != (i == 1) {
			t.Errorf("after %d long requests: expected %v of a cost of %v", i+1, target.expected(now, cost), cost)
		}
	}
}
