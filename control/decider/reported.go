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
	// smoothing is the time over which demand is averaged: an average over
	// fewer requests moves by chance and would cause writes.
	smoothing = 10 * time.Second
	// surging is the time over which a rise that is no chance is averaged:
	// until the node has more, it refuses callers.
	surging = time.Second
	// surgeDeviations is how many standard deviations of a count a rise must
	// be above the average to be no chance.
	surgeDeviations = 4
)

// reported is what one node reported.
type reported struct {
	report observe.Report
	at     time.Time
	// rest is for how long after it the node says nothing while what it measures
	// stays the same, 0 for a node that reports at the interval.
	rest time.Duration
	// key is the hash of the node, flowNames and placeNames are those of the names
	// in the last report that had them.
	key                   uint64
	flowNames, placeNames uint32
	// incomplete tells that the last report relied on names that are not known.
	incomplete bool
	// keysFrom is the sequence of the last answer with the names of grants, 0 for
	// none, and keys the hash of these names.
	keysFrom, keys uint64
	// hastened is when the node was asked last to report, zero for not since
	// its last report.
	hastened time.Time
	// flows is the smoothed demand.
	flows map[flowKey]float64
}

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// report takes in the report of a request. What it says is the same is that of the
// last. complete is false if it relies on names that the last did not have.
func (c *Core) report(r observe.Report, request *peerpb.RenewRequest, now time.Time) (complete bool) {
	old := c.reports[r.Node]
	if old == nil {
		old = &reported{flows: make(map[flowKey]float64)}
		c.reports[r.Node] = old
	}
	since := now.Sub(old.at)
	if old.at.IsZero() {
		since = time.Hour
	}
	complete = old.nameFlows(&r, request)
	complete = old.namePlaces(&r, request) && complete
	old.report = r
	old.at = now
	old.rest = min(time.Duration(request.RestMs)*time.Millisecond, c.options.Ledger.SurplusTTL)
	old.hastened = time.Time{}
	next := make(map[flowKey]float64, len(r.Flows))
	for _, f := range r.Flows {
		// A value that is no rate would spoil every later average.
		if !(f.OfferedRPS >= 0) || math.IsInf(f.OfferedRPS, 1) {
			continue
		}
		key := flowKey{f.Service, f.Caller}
		next[key] = average(old.flows[key], f.OfferedRPS, r.Interval, since, request.Short)
	}
	old.flows = next
	return complete
}

// nameFlows fills in what a report leaves out of its flows. Names on which node and
// decider do not agree, because another report came in between, leave the flows as
// they were; the node is told to name them.
func (old *reported) nameFlows(r *observe.Report, request *peerpb.RenewRequest) (complete bool) {
	known := old.report.Flows
	switch {
	case request.FlowsSame:
		r.Flows = known
		return old.flowNames != 0
	case request.FlowNames == 0:
		old.flowNames = names.Flows(r.Flows)
		return true
	case request.FlowNames != old.flowNames || len(known) != len(r.Flows):
		r.Flows = known
		return false
	}
	for i := range r.Flows {
		r.Flows[i].Service, r.Flows[i].Caller = known[i].Service, known[i].Caller
	}
	return true
}

// namePlaces does for the places what nameFlows does for the flows.
func (old *reported) namePlaces(r *observe.Report, request *peerpb.RenewRequest) (complete bool) {
	known := old.report.Places
	switch {
	case request.PlacesSame:
		r.Places = known
		return old.placeNames != 0
	case request.PlaceNames == 0:
		old.placeNames = names.Places(r.Places)
		return true
	case request.PlaceNames != old.placeNames || len(known) != len(r.Places):
		r.Places = known
		return false
	}
	for i := range r.Places {
		r.Places[i].Service, r.Places[i].Place = known[i].Service, known[i].Place
	}
	return true
}

// average moves a smoothed rate towards a new reading over an interval. A rise
// that is no chance counts in full for a node that is short.
func average(old, reading float64, interval, since time.Duration, short bool) float64 {
	over := smoothing
	if rises(old, reading, interval) {
		if short {
			return reading
		}
		over = surging
	}
	weight := 1 - math.Exp(-since.Seconds()/over.Seconds())
	return old + weight*(reading-old)
}

// rises reports whether a reading is above the average by more than chance: a
// rate that is counted over a shorter interval varies more.
func rises(old, reading float64, interval time.Duration) bool {
	seconds := interval.Seconds()
	if seconds <= 0 || seconds > 1 {
		seconds = 1
	}
	return reading > old+surgeDeviations*math.Sqrt(max(old, 1)/seconds)
}

// forget drops the reports of nodes that the ledger no longer knows.
func (c *Core) forget(now time.Time) {
	for id, r := range c.reports {
		if c.ledger.RegionOf(id) == "" && now.Sub(r.at) > c.options.Ledger.RemovalTime {
			delete(c.nodes, r.key)
			delete(c.reports, id)
		}
	}
}

// age is how old the measurement in the last report is. That of a node which said
// that it would tell changes is as old as the node's last look at its counts.
//
// Guard against a node that was lost while it rested. It shows as a measurement
// that stays young though nobody makes it any more. Once the next report is
// overdue the age is that of the last one again: at most the rest and the time
// until the node looks again later than for one that reports at the interval.
func (r *reported) age(now time.Time) time.Duration {
	age := now.Sub(r.at)
	if r.rest > 0 && age <= r.rest+leastInterval+reportSlack {
		return min(age, leastInterval)
	}
	return age
}

// observed returns the last reports, and the nodes that there is none of.
func (c *Core) observed(now time.Time) (reports []NodeReport, unheard []grant.NodeID) {
	reports = make([]NodeReport, 0, len(c.reports))
	for _, state := range c.ledger.States(now) {
		r := c.reports[state.Node.ID]
		if r == nil {
			unheard = append(unheard, state.Node.ID)
			continue
		}
		reports = append(reports, NodeReport{Report: r.report, Age: r.age(now)})
	}
	return reports, unheard
}

// allocate asks the ledger for what each node should have.
func (c *Core) allocate(now time.Time) {
	states := c.ledger.States(now)
	keys := c.ledger.Keys()
	nodes := make([]allocate.Node, len(states))
	for i, s := range states {
		r := c.reports[s.Node.ID]
		nodes[i] = allocate.Node{
			Region:  s.Node.Region,
			Demand:  c.demand(r, keys),
			Have:    s.Wanted,
			InForce: s.InForce,
			Silent:  c.silent(r, now),
			Leaving: s.Leaving,
		}
	}
	wishes := allocate.Split(c.ledger.Limits(), keys, nodes, c.options.Allocate)
	for i, s := range states {
		c.ledger.Want(s.Node.ID, wishes[i])
	}
}

// silent reports whether a node cannot be told anything. Until a node could
// have reported to a new decider, it is taken for reachable, so that a change
// of decider alone moves no grant.
func (c *Core) silent(r *reported, now time.Time) bool {
	last := c.since
	if r != nil {
		last = r.at
	}
	return now.Sub(last) > c.options.Ledger.SurplusTTL
}

// demand is what a node would send for each key if it followed the plan.
func (c *Core) demand(r *reported, keys []ledger.Key) []float64 {
	demand := make([]float64, len(keys))
	if r == nil || c.previous == nil {
		return demand
	}
	index := c.keyIndex(keys)
	for i := range c.previous.Flows {
		f := &c.previous.Flows[i]
		offered := r.flows[flowKey{f.Service, f.Caller}]
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

// nodeID builds the identity that a message names.
func nodeID(vm string, incarnation uint64) grant.NodeID {
	return grant.NodeID{VM: vm, Incarnation: incarnation}
}
