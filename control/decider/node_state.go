package decider

import (
	"math"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/allocate"
	"github.com/yuccaroute/yuccaroute/control/internal/names"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

const (
	// smoothingTime is the time constant for averaging demand. A shorter one would
	// turn noise into ledger writes.
	smoothingTime = 10 * time.Second
	// surgeSmoothingTime is the time constant for a surge, because the node refuses
	// callers until it has more capacity.
	surgeSmoothingTime = time.Second
	// surgeDeviations is how many standard deviations above the average a rate must
	// be to count as a surge.
	surgeDeviations = 4
)

// nodeState is what the decider knows about one node.
type nodeState struct {
	report     observe.Report
	receivedAt time.Time
	// steadyFor is how long after the report the node stays silent while its
	// measurements do not change, 0 if it reports at the regular interval.
	steadyFor time.Duration
	// nodeHash is the hash of the node's identity; flowNames and placeNames are the
	// hashes of the names in the last report that contained them.
	nodeHash              uint64
	flowNames, placeNames uint32
	// incomplete is set if the last report relied on unknown names.
	incomplete bool
	// keysSequence is the sequence of the last response with grant names, 0 for
	// none, and keysHash the hash of these names.
	keysSequence, keysHash uint64
	// hastened is when the node was last asked to report, zero if not since its last
	// report.
	hastened time.Time
	// demand is the smoothed request rate of each flow.
	demand map[flowKey]float64
}

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// storeReport stores a report, filling in the parts that the request marks as
// unchanged. complete is false if the report relies on unknown names.
func (c *Core) storeReport(r observe.Report, request *peerpb.RenewRequest, now time.Time) (complete bool) {
	state := c.reports[r.Node]
	if state == nil {
		state = &nodeState{demand: make(map[flowKey]float64)}
		c.reports[r.Node] = state
	}
	since := now.Sub(state.receivedAt)
	if state.receivedAt.IsZero() {
		since = time.Hour
	}
	complete = state.nameFlows(&r, request)
	complete = state.namePlaces(&r, request) && complete
	state.report = r
	state.receivedAt = now
	state.steadyFor = min(time.Duration(request.RestMs)*time.Millisecond, c.options.Ledger.SurplusTTL)
	state.hastened = time.Time{}
	next := make(map[flowKey]float64, len(r.Flows))
	for _, f := range r.Flows {
		// An invalid rate would corrupt all later averages.
		if !(f.OfferedRPS >= 0) || math.IsInf(f.OfferedRPS, 1) {
			continue
		}
		key := flowKey{f.Service, f.Caller}
		next[key] = smooth(state.demand[key], f.OfferedRPS, r.Interval, since, request.Short)
	}
	state.demand = next
	return complete
}

// nameFlows restores the flows or the flow names that a report omits. If the node
// and the decider disagree on the names, because another report arrived in between,
// the flows stay as they were and complete is false; the node is then asked for the
// names.
func (state *nodeState) nameFlows(r *observe.Report, request *peerpb.RenewRequest) (complete bool) {
	known := state.report.Flows
	switch {
	case request.FlowsSame:
		r.Flows = known
		return state.flowNames != 0
	case request.FlowNames == 0:
		state.flowNames = names.HashFlows(r.Flows)
		return true
	case request.FlowNames != state.flowNames || len(known) != len(r.Flows):
		r.Flows = known
		return false
	}
	for i := range r.Flows {
		r.Flows[i].Service, r.Flows[i].Caller = known[i].Service, known[i].Caller
	}
	return true
}

// namePlaces does for places what nameFlows does for flows.
func (state *nodeState) namePlaces(r *observe.Report, request *peerpb.RenewRequest) (complete bool) {
	known := state.report.Places
	switch {
	case request.PlacesSame:
		r.Places = known
		return state.placeNames != 0
	case request.PlaceNames == 0:
		state.placeNames = names.HashPlaces(r.Places)
		return true
	case request.PlaceNames != state.placeNames || len(known) != len(r.Places):
		r.Places = known
		return false
	}
	for i := range r.Places {
		r.Places[i].Service, r.Places[i].Place = known[i].Service, known[i].Place
	}
	return true
}

// smooth moves a smoothed rate towards a new reading. For a node short of capacity a
// surge counts in full.
func smooth(old, reading float64, interval, since time.Duration, short bool) float64 {
	over := smoothingTime
	if isSurge(old, reading, interval) {
		if short {
			return reading
		}
		over = surgeSmoothingTime
	}
	weight := 1 - math.Exp(-since.Seconds()/over.Seconds())
	return old + weight*(reading-old)
}

// isSurge reports whether a reading exceeds the average by more than noise. A rate
// counted over a shorter interval varies more.
func isSurge(old, reading float64, interval time.Duration) bool {
	seconds := interval.Seconds()
	if seconds <= 0 || seconds > 1 {
		seconds = 1
	}
	return reading > old+surgeDeviations*math.Sqrt(max(old, 1)/seconds)
}

// forgetRemoved drops the state of nodes that the ledger has removed.
func (c *Core) forgetRemoved(now time.Time) {
	for id, r := range c.reports {
		if c.ledger.RegionOf(id) == "" && now.Sub(r.receivedAt) > c.options.Ledger.RemovalTime {
			delete(c.nodesByHash, r.nodeHash)
			delete(c.reports, id)
		}
	}
}

// age returns the age of the measurements in the last report. A node at the steady
// interval would have reported a change, so they count as recent until its next
// report is overdue; from then on the age is that of the report.
func (r *nodeState) age(now time.Time) time.Duration {
	age := now.Sub(r.receivedAt)
	if r.steadyFor > 0 && age <= r.steadyFor+minReportInterval+reportSlack {
		return min(age, minReportInterval)
	}
	return age
}

// nodeReports returns the last reports and the nodes without one.
func (c *Core) nodeReports(now time.Time) (reports []NodeReport, unreported []grant.NodeID) {
	reports = make([]NodeReport, 0, len(c.reports))
	for _, state := range c.ledger.States(now) {
		r := c.reports[state.Node.ID]
		if r == nil {
			unreported = append(unreported, state.Node.ID)
			continue
		}
		reports = append(reports, NodeReport{Report: r.report, Age: r.age(now)})
	}
	return reports, unreported
}

// allocate computes the grants that each node should have and passes them to the
// ledger.
func (c *Core) allocate(now time.Time) {
	states := c.ledger.States(now)
	keys := c.ledger.Keys()
	nodes := make([]allocate.Node, len(states))
	for i, s := range states {
		r := c.reports[s.Node.ID]
		nodes[i] = allocate.Node{
			Region:      s.Node.Region,
			Demand:      c.demand(r, keys),
			Current:     s.Wanted,
			InForce:     s.InForce,
			Unreachable: c.silent(r, now),
			Leaving:     s.Leaving,
		}
	}
	wishes := allocate.Split(c.ledger.Limits(), keys, nodes, c.options.Allocate)
	for i, s := range states {
		c.ledger.SetWanted(s.Node.ID, wishes[i])
	}
}

// silent reports whether a node is unreachable. Until nodes have had time to report
// to a new decider they count as reachable, so that a change of decider alone moves
// no grants.
func (c *Core) silent(r *nodeState, now time.Time) bool {
	last := c.termStart
	if r != nil {
		last = r.receivedAt
	}
	return now.Sub(last) > c.options.Ledger.SurplusTTL
}

// demand returns the rate that a node would send for each key under the latest plan.
func (c *Core) demand(r *nodeState, keys []ledger.Key) []float64 {
	demand := make([]float64, len(keys))
	if r == nil || c.latestPlan == nil {
		return demand
	}
	index := c.keyIndex(keys)
	for i := range c.latestPlan.Flows {
		f := &c.latestPlan.Flows[i]
		offered := r.demand[flowKey{f.Service, f.Caller}]
		if offered <= 0 {
			continue
		}
		for _, s := range f.Shares {
			if k, ok := index[ledger.Key{Service: f.Service, Place: s.Place}]; ok {
				demand[k] += offered * float64(s.PPM) / wholePPM
			}
		}
	}
	return demand
}

const wholePPM = 1e6

func (c *Core) keyIndex(keys []ledger.Key) map[ledger.Key]int {
	if len(c.index) == len(keys) {
		return c.index
	}
	c.index = make(map[ledger.Key]int, len(keys))
	for k, key := range keys {
		c.index[key] = k
	}
	return c.index
}

func nodeID(vm string, incarnation uint64) grant.NodeID {
	return grant.NodeID{VM: vm, Incarnation: incarnation}
}
