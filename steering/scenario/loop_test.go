// Package scenario tests steering in a simulated closed loop with scripted load,
// latency that depends on load and cold caches, delayed measurements, and nodes that
// step towards the plan. It uses no network and no processes.
package scenario

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
	"github.com/yuccaroute/yuccaroute/steering/step"
)

// policy is steering or a baseline that it is compared with.
type policy struct {
	name   string
	decide func(steering.Input) steering.Decision
	// capped is whether nodes apply the move cap.
	capped bool
}

// script describes the events of a run.
type script struct {
	name    string
	seconds int
	// beforeSecond runs at the start of each second.
	beforeSecond func(w *world, second int)
	// drains returns the drains to configure in the account.
	drains func(start time.Time, a *model.Account) []model.Drain
	// faultSecond is when the measurement of the recovery time starts, 0 for none.
	faultSecond int
}

// run simulates a script with a policy.
func run(t *accountSpec, sc script, p policy) result {
	w := newWorld(t)
	if sc.drains != nil {
		w.account.Drains = sc.drains(w.start, w.account)
	}
	nodes := newNodes(w, p.capped)
	out := newResult(sc, p)
	var previous *plan.Plan
	for second := range sc.seconds {
		if sc.beforeSecond != nil {
			sc.beforeSecond(w, second)
		}
		w.applyDrains()
		d := p.decide(w.input(previous, uint64(second+1)))
		w.recordMoves(d.Moves)
		previous = d.Plan
		out.checkPlan(w, d)
		w.serveSecond(nodes, d, out, second)
		w.observe()
		w.now = w.now.Add(time.Second)
	}
	out.finish()
	return *out
}

// nodes holds one node for each region, which serves the callers of that region.
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

// stream is the traffic of one flow to one place in one second.
type stream struct {
	flow   flowName
	place  model.PlaceName
	region model.RegionName
	rps    float64
}

// serveSecond sends one second of traffic by the nodes' effective shares.
func (w *world) serveSecond(n *nodes, d steering.Decision, out *result, second int) {
	for _, c := range w.cells {
		c.sentRPS = 0
	}
	var streams []stream
	moved := 0.0
	for i, region := range w.account.Regions {
		effective := n.last[i]
		if w.pausedNode != i || effective == nil {
			effective, _ = n.steppers[i].Advance(d.Plan)
		}
		for _, f := range effective.Flows {
			if f.Caller != region.Name {
				continue
			}
			demand := w.demand[flowName{f.Service, f.Caller}]
			moved += demand * shareIncreases(n.last[i], &f)
			for _, share := range f.Shares {
				rps := demand * float64(share.PPM) / plan.Whole
				streams = append(streams, stream{flowName{f.Service, f.Caller}, share.Place, w.account.RegionOf(share.Place), rps})
			}
		}
		n.last[i] = effective
	}
	served := w.admit(streams, d.Limits, out)
	for name, c := range w.cells {
		c.serve(w.spec.placeRPS[name.service]*c.usable, w.spec.serviceLatencyMS)
	}
	out.recordSecond(w, served, moved, second)
}

func shareIncreases(before *plan.Plan, after *plan.Flow) float64 {
	if before == nil {
		return 0
	}
	old := before.Flow(after.Service, after.Caller)
	if old == nil {
		return 0
	}
	sum := 0.0
	for _, s := range after.Shares {
		oldPPM := uint32(0)
		for _, o := range old.Shares {
			if o.Place == s.Place {
				oldPPM = o.PPM
			}
		}
		if s.PPM > oldPPM {
			sum += float64(s.PPM - oldPPM)
		}
	}
	return sum / plan.Whole
}
