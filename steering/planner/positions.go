package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/steering"
)

const (
	// positionMemory is for how long a silent node counts. One that serves for
	// longer without reaching any decider must not hold every move for ever.
	positionMemory = 5 * time.Minute
	// partFactor widens a node's measured part of a flow: callers may come to
	// a node after its last report.
	partFactor = 2.0
	// freshReport is the age up to which a report tells what a node serves now.
	freshReport = 5 * time.Second
)

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// positions follows which plans the nodes of one account may still send by.
//
// It guards against callers who go from a node that lags to one that does not,
// or back: their traffic moves by the distance between the two nodes' shares,
// though neither node moves anything. It shows as more than the cap moved in a
// window after a VM was paused or cut off. A node counts at the last plan it
// is known to have reached until it reports a later one, and for a window
// after that; what its callers would move is charged to the cap beforehand.
type positions struct {
	trail trail
	nodes map[grant.NodeID]*position
	// gaps are the seconds from one request of a flow to the next, the largest
	// lately: callers who have just gone to another node count twice for a while.
	gaps map[flowKey]*highest
}

// position is what is known of one node.
type position struct {
	// reached are the plans it was at, oldest first, each until the next.
	reached []reached
	// parts are the node's parts of the flows by its last reports, 0 to 1.
	parts map[flowKey]*highest
	// permitted is what the node's grants let it send, requests per second.
	permitted map[model.ServiceName]*highest
	// seen is when the decider last counted the node, heard when its last
	// report arrived.
	seen, heard time.Time
}

// after is how long a node that is no longer on record still counts: until what
// it served last has left the window. One that did not say that it stops was
// taken off the record when it had ended for the removal time.
func (n *position) after(window time.Duration) time.Duration {
	if n.seen.Sub(n.heard) > freshReport {
		return max(window-ledger.DefaultRemovalTime, 0)
	}
	return window
}

type reached struct {
	// version is zero for a plan that is not known.
	version
	// until is when it was last at the plan; the newest has none.
	until time.Time
}

func newPositions() *positions {
	return &positions{
		nodes: make(map[grant.NodeID]*position),
		gaps:  make(map[flowKey]*highest),
	}
}

// read takes in the last plan and reports, and returns what is charged to each
// flow for nodes out of step with the plan.
func (p *positions) read(s *decider.PlannerInput) []steering.Behind {
	window, now := s.Account.Moves.Window, s.Now
	p.trail.add(s.Previous, s.Moves, positionMemory+window, now)
	rates := sumRates(s.Reports)
	for i := range s.Reports {
		p.report(&s.Reports[i], rates, window, now)
	}
	p.missing(s)
	p.measureGaps(s.Previous, rates, window, now)
	for id, n := range p.nodes {
		if now.Sub(n.seen) > n.after(window) {
			delete(p.nodes, id)
			continue
		}
		n.permit(id, s)
	}
	return p.behind(window, now)
}

// missing takes in nodes that have not reported to this decider. They may be at
// any plan of the one before.
func (p *positions) missing(s *decider.PlannerInput) {
	since := s.Now.Sub(s.TermStart)
	if since < settling || since > positionMemory {
		return
	}
	for _, id := range s.UnreportedNodes {
		n := p.node(id)
		n.seen = s.Now
		if len(n.reached) == 0 {
			n.reached = []reached{{}}
		}
	}
}

func (p *positions) node(id grant.NodeID) *position {
	n := p.nodes[id]
	if n == nil {
		n = &position{
			parts:     make(map[flowKey]*highest),
			permitted: make(map[model.ServiceName]*highest),
		}
		p.nodes[id] = n
	}
	return n
}

// sumRates sums the flows over the nodes heard lately. Callers who went from a
// silent node to others would count twice with its last report.
func sumRates(reports []decider.NodeReport) map[flowKey]float64 {
	rates := make(map[flowKey]float64)
	for i := range reports {
		if reports[i].Age > freshReport {
			continue
		}
		for _, f := range reports[i].Report.Flows {
			rates[flowKey{f.Service, f.Caller}] += f.OfferedRPS
		}
	}
	return rates
}

func (p *positions) report(o *decider.NodeReport, rates map[flowKey]float64, window time.Duration, now time.Time) {
	if o.Age > positionMemory {
		return
	}
	n := p.node(o.Report.Node)
	n.seen, n.heard = now, now.Add(-o.Age)
	n.at(version{o.Report.PlanEpoch, o.Report.PlanSequence}, n.heard)
	n.forget(now.Add(-window))
	if o.Age <= freshReport {
		n.measure(o.Report.Flows, rates, window, now)
	}
}

// at notes a plan reached, by the report's time of arrival.
func (n *position) at(v version, arrived time.Time) {
	if v == (version{}) {
		return
	}
	last := len(n.reached) - 1
	if last >= 0 && !n.reached[last].before(v) {
		return
	}
	if last >= 0 {
		n.reached[last].until = arrived
	}
	n.reached = append(n.reached, reached{version: v})
}

// forget drops the plans that the node has left before a time.
func (n *position) forget(before time.Time) {
	for len(n.reached) > 1 && n.reached[0].until.Before(before) {
		n.reached = n.reached[1:]
	}
}

func (n *position) measure(flows []observe.FlowDemand, rates map[flowKey]float64, window time.Duration, now time.Time) {
	for _, f := range flows {
		key := flowKey{f.Service, f.Caller}
		if n.parts[key] == nil {
			n.parts[key] = &highest{}
		}
		if total := rates[key]; total > 0 {
			n.parts[key].add(f.OfferedRPS/total, window, now)
		}
	}
}

func (p *positions) measureGaps(last *plan.Plan, rates map[flowKey]float64, window time.Duration, now time.Time) {
	if last == nil {
		return
	}
	for i := range last.Flows {
		key := flowKey{last.Flows[i].Service, last.Flows[i].Caller}
		if p.gaps[key] == nil {
			p.gaps[key] = &highest{}
		}
		p.gaps[key].add(1/rates[key], window, now)
	}
}

// permit notes what the node's grants let it send. Callers above a grant that
// ended lately may have gone elsewhere within the window.
func (n *position) permit(id grant.NodeID, s *decider.PlannerInput) {
	if s.PermittedRPS == nil {
		return
	}
	for i := range s.Account.Services {
		service := s.Account.Services[i].Name
		if n.permitted[service] == nil {
			n.permitted[service] = &highest{}
		}
		n.permitted[service].add(s.PermittedRPS(id, service), s.Account.Moves.Window, s.Now)
	}
}

// behind charges each flow the distance of every node to the plan in force a
// window ago, weighted by the node's part of the flow. From that plan to the
// newest one the distance is within what moved in the window, which is charged
// anyway.
func (p *positions) behind(window time.Duration, now time.Time) []steering.Behind {
	if len(p.trail.plans) == 0 {
		return nil
	}
	ref := p.trail.inForce(now.Add(-window))
	lags := p.lagging(ref)
	if len(lags) == 0 {
		return nil
	}
	var result []steering.Behind
	for i := range p.trail.plans[ref].flows {
		f := &p.trail.plans[ref].flows[i]
		key := flowKey{f.Service, f.Caller}
		if sum := p.charge(key, lags, ref); sum > 0 {
			result = append(result, steering.Behind{Service: key.service, Caller: key.caller, PPM: sum})
		}
	}
	return result
}

// lag is a node that may still be at an older plan than the one in force a
// window ago.
type lag struct {
	id   grant.NodeID
	node *position
	// from is the index of the plan, -1 for one that is not remembered.
	from int
}

// lagging lists the nodes behind the plan at ref, those farthest back first.
func (p *positions) lagging(ref int) []lag {
	var lags []lag
	for id, n := range p.nodes {
		if len(n.reached) > 0 && n.reached[0].before(p.trail.plans[ref].version) {
			lags = append(lags, lag{id, n, p.trail.find(n.reached[0].version)})
		}
	}
	slices.SortFunc(lags, compareLags)
	return lags
}

// compareLags gives an order that does not depend on that of a map: sums of
// rounded numbers do, and a plan must not.
func compareLags(a, b lag) int {
	return cmp.Or(
		cmp.Compare(a.from, b.from),
		cmp.Compare(a.id.VM, b.id.VM),
		cmp.Compare(a.id.Incarnation, b.id.Incarnation),
	)
}

// charge is the most that callers of a flow can move by going to nodes that lag
// or away from them. All parts of a flow together are no more than the whole, so
// the nodes farthest back are counted first, until it is reached.
func (p *positions) charge(key flowKey, lags []lag, ref int) uint32 {
	first := max(lags[0].from, 0)
	farthest := p.trail.farthest(first, ref, key)
	sum, left := 0.0, 1.0
	for _, l := range lags {
		far := farthest[max(l.from, 0)-first]
		if l.from < 0 {
			far = min(far+p.trail.before[key], plan.Whole)
		}
		if far == 0 || left <= 0 {
			break
		}
		part := min(p.partOf(l.node, key), left)
		left -= part
		sum += float64(far) * part
	}
	return uint32(math.Ceil(min(sum, plan.Whole)))
}

// partOf is the part of a flow whose callers may come to a node. It is at least
// an equal part, as callers who had left the node may come back to it, twice
// that for one that was never measured, and what its grants let it serve.
//
// Guard against callers who crowd to a node that nobody hears, as those near
// them have ended: it shows as more than the cap moved when they come and when
// they leave, though the node's last report told of few. The guard holds because
// a node serves no more than it has been granted, and refused requests do not
// move.
func (p *positions) partOf(n *position, key flowKey) float64 {
	equal := 1 / float64(len(p.nodes))
	part := partFactor * equal
	if h := n.parts[key]; h != nil {
		part = max(equal, partFactor*h.value())
	}
	return max(part, p.permittedPart(n, key))
}

// permittedPart is the part of a flow that a node's grants let it serve, 1 when
// no node in touch tells how large the flow is.
func (p *positions) permittedPart(n *position, key flowKey) float64 {
	h, gap := n.permitted[key.service], p.gaps[key]
	if h == nil || gap == nil || h.value() <= 0 {
		return 0
	}
	return min(1, h.value()*gap.value())
}

// highest is the largest of the values within the last window, or a little
// longer.
type highest struct {
	since         time.Time
	present, last float64
}

func (h *highest) add(value float64, window time.Duration, now time.Time) {
	if now.Sub(h.since) > window {
		h.last, h.present, h.since = h.present, 0, now
	}
	h.present = max(h.present, value)
}

func (h *highest) value() float64 { return max(h.present, h.last) }
