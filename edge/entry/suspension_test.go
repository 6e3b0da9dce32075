package entry

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/clock"
	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/peers"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// machine is a machine that can be suspended.
type machine struct {
	started   time.Time
	suspended atomic.Int64
}

func (m *machine) boot() time.Duration {
	return time.Since(m.started) + time.Duration(m.suspended.Load())
}

func (m *machine) suspend(d time.Duration) { m.suspended.Add(int64(d)) }

// newVM returns the parts of a VM that tell others how old something is.
func (m *machine) newVM(name string) *Entry {
	e := &Entry{log: logrus.New(), workingSets: &workingSets{}, fairShares: &fairShares{}}
	e.options.VM.Name = name
	e.contact = newContact(clock.NewFrom(time.Now, m.boot), 0)
	e.members = peers.New(e.options.VM, e.now())
	e.digests = peers.NewDigestMonitor(e.now())
	e.balancer = placing.New(placing.Options{VM: name})
	e.targetLimits = &targetLimits{
		entry: e, log: e.component("targetlimits"), started: e.now(), table: ratelimit.New(e.now(), func(map[uint32]float64) {}),
	}
	return e
}

// A limit that a VM observed before it was suspended must not replace a newer one at other VMs.
func TestSuspendedVMTellsTrueAgeOfLimits(t *testing.T) {
	const target, observedBefore = 1, 700 * time.Millisecond
	m := &machine{started: time.Now()}
	suspended, other := m.newVM("a"), (&machine{started: time.Now()}).newVM("b")
	limits := suspended.targetLimits
	limits.Observe(ratelimit.Observation{Target: target, Limited: true, Rate: 40, At: limits.Now()}, limits.Now())
	m.suspend(10 * time.Second)
	now := other.now()
	other.targetLimits.Observe(ratelimit.Observation{Target: target, Limited: true, Rate: 4, At: now.Add(-observedBefore)}, now)
	other.targetLimits.merge(now, "a", suspended.limitsToAnnounce(false))
	if rate, _ := other.targetLimits.table.Limit(target); rate != 4 {
		t.Errorf("limit of %v a second, 4 was observed later", rate)
	}
}

// An aggregator that was suspended must not tell its region that VMs have just reported.
func TestSuspendedVMTellsTrueAgeOfReports(t *testing.T) {
	const suspension = 10 * time.Second
	m := &machine{started: time.Now()}
	e := m.newVM("a")
	e.members.Register([]site.VM{{Name: "b"}}, e.now())
	reported := exchange.VMStatus{Name: "b", Serving: true}
	e.applyDigest(time.Now(), "b", &exchange.Digest{Details: &exchange.DigestDetails{VMs: []exchange.VMStatus{reported}}})
	m.suspend(suspension)
	vms := e.digest(true).Details.VMs
	if len(vms) != 1 || vms[0].Age < suspension {
		t.Errorf("statuses %+v, the VM has reported before a suspension of %s", vms, suspension)
	}
}
