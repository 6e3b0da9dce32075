package placing

import (
	"testing"
	"time"
)

// Guards against requests that are sent to, or wait for, targets that this VM does not reach.
func TestUnreachedTargetsGetNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	first, _ := b.Place(now, keyRequest(now, class, 1))
	if first.Target == nil {
		t.Fatal("not placed before")
	}
	var queued *Waiter
	for queued == nil {
		_, queued = b.Place(now, keyRequest(now, class, 1))
	}
	service, region := first.Target.Service, first.Target.Region
	_, demand := b.Report(now)
	b.SetReached(now, service, region, false)
	if d := <-queued.Decided(); d.Target != nil || d.Reason != Unreached {
		t.Errorf("queued request: %+v", d)
	}
	for i := range 20 {
		d, w := b.Place(now, keyRequest(now, class, uint64(i)))
		if w != nil || d.Target != nil || d.Reason != Unreached || d.RetryAfter <= 0 {
			t.Fatalf("request %d: %+v, queued %v", i, d, w != nil)
		}
	}
	if due := b.DueProbes(now.Add(time.Minute)); len(due) > 0 {
		t.Errorf("%d targets are probed", len(due))
	}
	inFlight, after := b.Report(now)
	if len(inFlight) > 0 {
		t.Errorf("other VMs are told of requests at unreached targets: %v", inFlight)
	}
	if after[service] > demand[service] {
		t.Errorf("demand of requests that other VMs place: %v, before %v", after, demand)
	}
	b.SetReached(now, service, region, true)
	if d, w := b.Place(now, keyRequest(now, class, 99)); w == nil && d.Target == nil {
		t.Errorf("after the return: %+v", d)
	}
}

// Guards against what a VM has believed of targets while it did not reach them, and against a burst of probes
// after its return.
func TestReturnVoidsBeliefsAndStaggersProbes(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(time.Second)
	var ejected []*Target
	for range 8 {
		d, w := b.Place(now, keyRequest(now, class, uint64(len(ejected))))
		if w != nil || d.Target == nil {
			break
		}
		b.Done(now, d, class, Unreachable, time.Second)
		ejected = append(ejected, d.Target)
	}
	target := ejected[0]
	target.slowdown = 80
	b.SetReached(now, target.Service, target.Region, false)
	now = now.Add(10 * time.Second)
	b.SetReached(now, target.Service, target.Region, true)
	if target.slowdown != 1 || target.failures != 0 || !target.needsProbe {
		t.Errorf("slowdown %v, failures %v, needs probe %v", target.slowdown, target.failures, target.needsProbe)
	}
	if due := len(b.DueProbes(now)); due != 1 {
		t.Errorf("%d targets are probed at once", due)
	}
	if due := len(b.DueProbes(now.Add(probeInterval - 1))); due != len(ejected)-1 {
		t.Errorf("%d targets are probed in the next second, %d were ejected", due, len(ejected))
	}
}
