package planner

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// version orders the plans of an account.
type version struct{ epoch, sequence uint64 }

func versionOf(p *plan.Plan) version { return version{p.Epoch, p.Sequence} }

func (v version) before(w version) bool {
	if v.epoch != w.epoch {
		return v.epoch < w.epoch
	}
	return v.sequence < w.sequence
}

// next reports whether no plan was decided between v and w.
func (v version) next(w version) bool {
	if v.epoch == w.epoch {
		return w.sequence == v.sequence+1
	}
	return w.epoch == v.epoch+1 && w.sequence == 1
}

// decided is a plan and a time before it was given out.
type decided struct {
	version
	at    time.Time
	flows []plan.Flow
}

// trail holds the plans of one account decided lately, oldest first.
type trail struct {
	plans []decided
	// read is when the trail was last brought up to date. A plan that is new
	// then was decided in that reading, and given out after it.
	read time.Time
	// before is what moved of each flow from any plan that is not remembered to
	// the first one that is, at most.
	before map[flowKey]uint32
}

// add brings the trail up to date and forgets what is older than memory, but
// for the plan in force at that time. moves are those on record.
func (t *trail) add(p *plan.Plan, moves []ledger.Move, memory time.Duration, now time.Time) {
	if p != nil {
		t.append(decided{versionOf(p), t.read, p.Flows}, moves)
	}
	t.read = now
	if old := t.inForce(now.Add(-memory)); old > 0 {
		t.forget(old)
	}
}

// append begins anew when plans are missing in between, decided by another
// node: a node may have been at any of them.
func (t *trail) append(d decided, moves []ledger.Move) {
	if len(t.plans) > 0 && !t.newest().before(d.version) {
		return
	}
	if len(t.plans) == 0 || !t.newest().next(d.version) {
		t.plans = nil
		t.before = make(map[flowKey]uint32)
		for _, m := range moves {
			t.movedBefore(flowKey{m.Service, m.Caller}, uint32(max(m.Delta, 0)))
		}
	}
	t.plans = append(t.plans, d)
}

func (t *trail) movedBefore(key flowKey, ppm uint32) {
	t.before[key] = min(t.before[key]+ppm, plan.Whole)
}

// forget drops the first plans.
func (t *trail) forget(count int) {
	for i := range count {
		for j := range t.plans[i].flows {
			f := &t.plans[i].flows[j]
			key := flowKey{f.Service, f.Caller}
			t.movedBefore(key, distance(f.Shares, sharesOf(t.plans[i+1].flows, key)))
		}
	}
	t.plans = append([]decided(nil), t.plans[count:]...)
}

func (t *trail) newest() version { return t.plans[len(t.plans)-1].version }

// inForce returns the index of the newest plan decided by a time, 0 for none.
func (t *trail) inForce(at time.Time) int {
	i := len(t.plans) - 1
	for i > 0 && t.plans[i].at.After(at) {
		i--
	}
	return max(i, 0)
}

// find returns the index of a version, or -1.
func (t *trail) find(v version) int {
	i := sort.Search(len(t.plans), func(i int) bool { return !t.plans[i].version.before(v) })
	if i < len(t.plans) && t.plans[i].version == v {
		return i
	}
	return -1
}

// farthest returns for each plan from the first up to the one at ref how far a
// flow is at most from the latter, on its way from the former: a node that is
// between some plans has a weighted mean of their shares, and is no farther
// than the farthest of them.
func (t *trail) farthest(first, ref int, key flowKey) []uint32 {
	goal := sharesOf(t.plans[ref].flows, key)
	most := make([]uint32, ref-first+1)
	for i := ref - 1; i >= first; i-- {
		most[i-first] = max(most[i-first+1], distance(sharesOf(t.plans[i].flows, key), goal))
	}
	return most
}

func sharesOf(flows []plan.Flow, key flowKey) []plan.Share {
	for i := range flows {
		if flows[i].Service == key.service && flows[i].Caller == key.caller {
			return flows[i].Shares
		}
	}
	return nil
}

// distance is the part of a flow that moves from one list of shares to
// another, parts per million. Both are sorted by place. From nothing nothing
// moves: it is the flow's first plan.
func distance(from, to []plan.Share) uint32 {
	if len(from) == 0 {
		return 0
	}
	sum := uint32(0)
	for _, s := range to {
		for len(from) > 0 && from[0].Place < s.Place {
			from = from[1:]
		}
		had := uint32(0)
		if len(from) > 0 && from[0].Place == s.Place {
			had = from[0].PPM
		}
		sum += s.PPM - min(s.PPM, had)
	}
	return sum
}
