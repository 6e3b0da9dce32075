package planner

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// version identifies a plan of an account and orders plans by age.
type version struct{ epoch, sequence uint64 }

func versionOf(p *plan.Plan) version { return version{p.Epoch, p.Sequence} }

func (v version) before(w version) bool {
	if v.epoch != w.epoch {
		return v.epoch < w.epoch
	}
	return v.sequence < w.sequence
}

// directlyPrecedes reports whether w is the next version after v.
func (v version) directlyPrecedes(w version) bool {
	if v.epoch == w.epoch {
		return w.sequence == v.sequence+1
	}
	return w.epoch == v.epoch+1 && w.sequence == 1
}

// pastPlan is an earlier plan of the account.
type pastPlan struct {
	version
	// publishedAfter is a lower bound of the time of publication.
	publishedAfter time.Time
	flows          []plan.Flow
}

// planHistory holds the recent plans of one account, oldest first.
type planHistory struct {
	plans []pastPlan
	// lastUpdate is the time of the last call of add. A plan that is new in the
	// next call was published after it.
	lastUpdate time.Time
	// untrackedMoves bounds how much of each flow moved from any plan before the
	// history to its first plan, in parts per million.
	untrackedMoves map[flowKey]uint32
}

// add appends a new plan and drops the plans older than retention, except the one
// in force at that time. moves are the moves in the ledger.
func (h *planHistory) add(p *plan.Plan, moves []ledger.Move, retention time.Duration, now time.Time) {
	if p != nil {
		h.append(pastPlan{versionOf(p), h.lastUpdate, p.Flows}, moves)
	}
	h.lastUpdate = now
	if old := h.inForce(now.Add(-retention)); old > 0 {
		h.dropFirst(old)
	}
}

// append restarts the history if it misses plans of another decider, since nodes
// may have applied any of them.
func (h *planHistory) append(d pastPlan, moves []ledger.Move) {
	if len(h.plans) > 0 && !h.newestVersion().before(d.version) {
		return
	}
	if len(h.plans) == 0 || !h.newestVersion().directlyPrecedes(d.version) {
		h.plans = nil
		h.untrackedMoves = make(map[flowKey]uint32)
		for _, m := range moves {
			h.addUntracked(flowKey{m.Service, m.Caller}, uint32(max(m.Delta, 0)))
		}
	}
	h.plans = append(h.plans, d)
}

func (h *planHistory) addUntracked(key flowKey, ppm uint32) {
	h.untrackedMoves[key] = min(h.untrackedMoves[key]+ppm, plan.Whole)
}

// dropFirst drops the given number of oldest plans.
func (h *planHistory) dropFirst(count int) {
	for i := range count {
		for j := range h.plans[i].flows {
			f := &h.plans[i].flows[j]
			key := flowKey{f.Service, f.Caller}
			h.addUntracked(key, distance(f.Shares, sharesOf(h.plans[i+1].flows, key)))
		}
	}
	h.plans = append([]pastPlan(nil), h.plans[count:]...)
}

func (h *planHistory) newestVersion() version { return h.plans[len(h.plans)-1].version }

// inForce returns the index of the newest plan published by the given time, 0 if
// there is none.
func (h *planHistory) inForce(at time.Time) int {
	i := len(h.plans) - 1
	for i > 0 && h.plans[i].publishedAfter.After(at) {
		i--
	}
	return max(i, 0)
}

// find returns the index of the plan with the given version, or -1.
func (h *planHistory) find(v version) int {
	i := sort.Search(len(h.plans), func(i int) bool { return !h.plans[i].version.before(v) })
	if i < len(h.plans) && h.plans[i].version == v {
		return i
	}
	return -1
}

// maxDistances returns, for each plan from first to ref, the largest distance to
// the plan at ref that a node may have on its way from the former to the latter.
// The shares of a node between plans are a weighted mean of the plans' shares, so
// the largest distance of these plans bounds its own.
func (h *planHistory) maxDistances(first, ref int, key flowKey) []uint32 {
	target := sharesOf(h.plans[ref].flows, key)
	distances := make([]uint32, ref-first+1)
	for i := ref - 1; i >= first; i-- {
		distances[i-first] = max(distances[i-first+1], distance(sharesOf(h.plans[i].flows, key), target))
	}
	return distances
}

func sharesOf(flows []plan.Flow, key flowKey) []plan.Share {
	for i := range flows {
		if flows[i].Service == key.service && flows[i].Caller == key.caller {
			return flows[i].Shares
		}
	}
	return nil
}

// distance returns the part of a flow that moves from one list of shares to
// another, in parts per million. Both are sorted by place. The first plan of a
// flow, with an empty from, moves nothing.
func distance(from, to []plan.Share) uint32 {
	if len(from) == 0 {
		return 0
	}
	sum := uint32(0)
	for _, s := range to {
		for len(from) > 0 && from[0].Place < s.Place {
			from = from[1:]
		}
		old := uint32(0)
		if len(from) > 0 && from[0].Place == s.Place {
			old = from[0].PPM
		}
		sum += s.PPM - min(s.PPM, old)
	}
	return sum
}
