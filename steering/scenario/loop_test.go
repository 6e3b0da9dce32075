// Package scenario runs steering in a small closed loop: a scripted load, a
// latency that depends on the load and on cold caches, measurements that lag,
// and nodes that step towards the plan. It has no network and no processes.
package scenario

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
	"github.com/yuccaroute/yuccaroute/steering/step"
)

// policy is the one under test or a baseline.
type policy struct {
	name   string
	decide func(steering.Input) steering.Decision
	// capped tells that nodes step under the move cap.
	capped bool
}

// script changes the world at each second.
type script struct {
	name    string
	seconds int
	// at runs at the begin of each second.
	at func(w *world, second int)
	// drains are put into the account.
	drains func(start time.Time, a *model.Account) []model.Drain
	// faultAt is the second from which on recovery is counted, 0 for none.
	faultAt int
}

// run plays a script with a policy.
func run(t *tenant, sc script, p policy) result {
	w := newWorld(t)
	if sc.drains != nil {
		w.account.Drains = sc.drains(w.start, w.account)
	}
	nodes := newNodes(w, p.capped)
	out := newResult(sc, p)
	var previous *plan.Plan
	for second := range sc.seconds {
		if sc.at != nil {
			sc.at(w, second)
		}
		w.stopDrained()
		d := p.decide(w.input(previous, uint64(second+1)))
		w.record(d.Moves)
		previous = d.Plan
		out.checkPlan(w, d)
		w.serveSecond(nodes, d, out, second)
		w.observe()
		w.now = w.now.Add(time.Second)
	}
	out.finish()
	return *out
}

// nodes holds one node in each region; a node takes the callers of its own.
type nodes struct {
	steppers []*step.Stepper
	last     []*plan.Plan
}

func newNodes(w *world, capped bool) *nodes {
	n := &nodes{}
	limits := w.account.Moves
	if !capped {
		limits.Share = 1
		limits.Window = 0
	}
	for range w.account.Regions {
		n.steppers = append(n.steppers, step.New(limits, func() time.Time { return w.now }))
		n.last = append(n.last, nil)
	}
	return n
}

// stream is one flow's traffic to one place in a second.
type stream struct {
	flow   flowName
	place  model.PlaceName
	region model.RegionName
	rps    float64
}

// serveSecond sends a second of traffic by the nodes' effective shares.
func (w *world) serveSecond(n *nodes, d steering.Decision, out *result, second int) {
	for _, c := range w.cells {
		c.sent = 0
	}
	var streams []stream
	moved := 0.0
	for i, region := range w.account.Regions {
		effective := n.last[i]
		if w.paused != i || effective == nil {
			effective, _ = n.steppers[i].Advance(d.Plan)
		}
		for _, f := range effective.Flows {
			if f.Caller != region.Name {
				continue
			}
			demand := w.demand[flowName{f.Service, f.Caller}]
			moved += demand * increases(n.last[i], &f)
			for _, share := range f.Shares {
				rps := demand * float64(share.PPM) / plan.Whole
				streams = append(streams, stream{flowName{f.Service, f.Caller}, share.Place, w.account.RegionOf(share.Place), rps})
			}
		}
		n.last[i] = effective
	}
	served := w.admit(streams, d.Limits, out)
	for name, c := range w.cells {
		c.serve(w.tenant.capacity[name.service]*c.usable, w.tenant.serviceLatencyMS)
	}
	out.note(w, served, moved, second)
}

func increases(before *plan.Plan, after *plan.Flow) float64 {
	if before == nil {
		return 0
	}
	old := before.Flow(after.Service, after.Caller)
	if old == nil {
		return 0
	}
	sum := 0.0
	for _, s := range after.Shares {
		was := uint32(0)
		for _, o := range old.Shares {
			if o.Place == s.Place {
				was = o.PPM
			}
		}
		if s.PPM > was {
			sum += float64(s.PPM - was)
		}
	}
	return sum / plan.Whole
}
