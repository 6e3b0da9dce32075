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
	// silentNodeRetention is how long a silent node counts. A node that keeps
	// serving without reaching a decider must not block moves indefinitely.
	silentNodeRetention = 5 * time.Minute
	// fractionMargin is applied to a node's measured fraction of a flow, since
	// callers may join the node after its last report.
	fractionMargin = 2.0
	// freshReportAge is the age up to which a report reflects the current load.
	freshReportAge = 5 * time.Second
)

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// lagTracker tracks which plans the nodes of one account may still apply.
//
// Callers that switch between a lagging node and an up-to-date one move their
// traffic by the difference of the two nodes' shares, although neither node
// changes its shares. The traffic that could move this way is charged to the move
// cap in advance. A node counts with the last plan it is known to have applied
// until one window after it reports a later one.
type lagTracker struct {
	history planHistory
	nodes   map[grant.NodeID]*nodeState
	// requestIntervals holds the mean time between requests of each flow, in
	// seconds. The maximum is used because callers that switched nodes are briefly
	// counted twice.
	requestIntervals map[flowKey]*windowMax
}

// nodeState holds what is known about one node.
type nodeState struct {
	// applied lists the plans the node applied, oldest first.
	applied []appliedPlan
	// fractions holds the node's fraction of each flow in recent reports, 0 to 1.
	fractions map[flowKey]*windowMax
	// permittedRPS holds the rate for each service that the node's grants permit.
	permittedRPS map[model.ServiceName]*windowMax
	// lastSeen is when the decider last listed the node, lastReport when its last
	// report arrived.
	lastSeen, lastReport time.Time
}

// retention returns how long a node still counts after it left the ledger: until
// its last requests have left the window. A node that stopped without notice was
// removed from the ledger only after the removal time, which is deducted.
func (n *nodeState) retention(window time.Duration) time.Duration {
	if n.lastSeen.Sub(n.lastReport) > freshReportAge {
		return max(window-ledger.DefaultRemovalTime, 0)
	}
	return window
}

type appliedPlan struct {
	// version is zero if the plan is not known.
	version
	// until is when the node reported a newer plan; zero for the newest.
	until time.Time
}

func newLagTracker() *lagTracker {
	return &lagTracker{
		nodes:            make(map[grant.NodeID]*nodeState),
		requestIntervals: make(map[flowKey]*windowMax),
	}
}

// update records the last plan and reports, and returns the charge of each flow
// for nodes that lag behind the plan.
func (t *lagTracker) update(s *decider.PlannerInput) []steering.LaggingShare {
	window, now := s.Account.Moves.Window, s.Now
	t.history.add(s.Previous, s.Moves, silentNodeRetention+window, now)
	rates := sumRates(s.Reports)
	for i := range s.Reports {
		t.recordReport(&s.Reports[i], rates, window, now)
	}
	t.addUnreported(s)
	t.measureIntervals(s.Previous, rates, window, now)
	for id, n := range t.nodes {
		if now.Sub(n.lastSeen) > n.retention(window) {
			delete(t.nodes, id)
			continue
		}
		n.recordPermitted(id, s)
	}
	return t.charges(window, now)
}

// addUnreported adds the nodes that have not reported to this decider. They may
// still apply any plan of the previous one.
func (t *lagTracker) addUnreported(s *decider.PlannerInput) {
	since := s.Now.Sub(s.TermStart)
	if since < reportGracePeriod || since > silentNodeRetention {
		return
	}
	for _, id := range s.UnreportedNodes {
		n := t.node(id)
		n.lastSeen = s.Now
		if len(n.applied) == 0 {
			n.applied = []appliedPlan{{}}
		}
	}
}

func (t *lagTracker) node(id grant.NodeID) *nodeState {
	n := t.nodes[id]
	if n == nil {
		n = &nodeState{
			fractions:    make(map[flowKey]*windowMax),
			permittedRPS: make(map[model.ServiceName]*windowMax),
		}
		t.nodes[id] = n
	}
	return n
}

// sumRates sums the flow rates over nodes with a fresh report. With the last
// report of a silent node, callers that moved to other nodes would count twice.
func sumRates(reports []decider.NodeReport) map[flowKey]float64 {
	rates := make(map[flowKey]float64)
	for i := range reports {
		if reports[i].Age > freshReportAge {
			continue
		}
		for _, f := range reports[i].Report.Flows {
			rates[flowKey{f.Service, f.Caller}] += f.OfferedRPS
		}
	}
	return rates
}

func (t *lagTracker) recordReport(o *decider.NodeReport, rates map[flowKey]float64, window time.Duration, now time.Time) {
	if o.Age > silentNodeRetention {
		return
	}
	n := t.node(o.Report.Node)
	n.lastSeen, n.lastReport = now, now.Add(-o.Age)
	n.recordPlan(version{o.Report.PlanEpoch, o.Report.PlanSequence}, n.lastReport)
	n.dropPlansBefore(now.Add(-window))
	if o.Age <= freshReportAge {
		n.measureFractions(o.Report.Flows, rates, window, now)
	}
}

// recordPlan adds an applied plan with the arrival time of its report.
func (n *nodeState) recordPlan(v version, arrived time.Time) {
	if v == (version{}) {
		return
	}
	last := len(n.applied) - 1
	if last >= 0 && !n.applied[last].before(v) {
		return
	}
	if last >= 0 {
		n.applied[last].until = arrived
	}
	n.applied = append(n.applied, appliedPlan{version: v})
}

// dropPlansBefore drops the plans that were replaced before the given time.
func (n *nodeState) dropPlansBefore(before time.Time) {
	for len(n.applied) > 1 && n.applied[0].until.Before(before) {
		n.applied = n.applied[1:]
	}
}

func (n *nodeState) measureFractions(flows []observe.FlowDemand, rates map[flowKey]float64, window time.Duration, now time.Time) {
	for _, f := range flows {
		key := flowKey{f.Service, f.Caller}
		if n.fractions[key] == nil {
			n.fractions[key] = &windowMax{}
		}
		if total := rates[key]; total > 0 {
			n.fractions[key].add(f.OfferedRPS/total, window, now)
		}
	}
}

func (t *lagTracker) measureIntervals(last *plan.Plan, rates map[flowKey]float64, window time.Duration, now time.Time) {
	if last == nil {
		return
	}
	for i := range last.Flows {
		key := flowKey{last.Flows[i].Service, last.Flows[i].Caller}
		if t.requestIntervals[key] == nil {
			t.requestIntervals[key] = &windowMax{}
		}
		t.requestIntervals[key].add(1/rates[key], window, now)
	}
}

// recordPermitted records the rates that the node's grants permit. When a grant
// ends, its callers may switch to other nodes within the window.
func (n *nodeState) recordPermitted(id grant.NodeID, s *decider.PlannerInput) {
	if s.PermittedRPS == nil {
		return
	}
	for i := range s.Account.Services {
		service := s.Account.Services[i].Name
		if n.permittedRPS[service] == nil {
			n.permittedRPS[service] = &windowMax{}
		}
		n.permittedRPS[service].add(s.PermittedRPS(id, service), s.Account.Moves.Window, s.Now)
	}
}

// charges returns for each flow the distance of every node to the plan in force
// one window ago, weighted by the node's fraction of the flow. Moves from that
// plan to the newest one count against the cap anyway.
func (t *lagTracker) charges(window time.Duration, now time.Time) []steering.LaggingShare {
	if len(t.history.plans) == 0 {
		return nil
	}
	ref := t.history.inForce(now.Add(-window))
	lagging := t.laggingNodes(ref)
	if len(lagging) == 0 {
		return nil
	}
	var result []steering.LaggingShare
	for i := range t.history.plans[ref].flows {
		f := &t.history.plans[ref].flows[i]
		key := flowKey{f.Service, f.Caller}
		if sum := t.charge(key, lagging, ref); sum > 0 {
			result = append(result, steering.LaggingShare{Service: key.service, Caller: key.caller, PPM: sum})
		}
	}
	return result
}

// laggingNode is a node that may still apply a plan older than the one in force
// one window ago.
type laggingNode struct {
	id   grant.NodeID
	node *nodeState
	// planIndex is the plan's index in the history, -1 if it is not there.
	planIndex int
}

// laggingNodes lists the nodes behind the plan at ref, oldest plan first.
func (t *lagTracker) laggingNodes(ref int) []laggingNode {
	var lagging []laggingNode
	for id, n := range t.nodes {
		if len(n.applied) > 0 && n.applied[0].before(t.history.plans[ref].version) {
			lagging = append(lagging, laggingNode{id, n, t.history.find(n.applied[0].version)})
		}
	}
	slices.SortFunc(lagging, compareLagging)
	return lagging
}

// compareLagging defines a total order independent of map iteration, so that
// floating-point sums, and with them the plan, are deterministic.
func compareLagging(a, b laggingNode) int {
	return cmp.Or(
		cmp.Compare(a.planIndex, b.planIndex),
		cmp.Compare(a.id.VM, b.id.VM),
		cmp.Compare(a.id.Incarnation, b.id.Incarnation),
	)
}

// charge returns the largest part of a flow that callers can move by switching
// to or from lagging nodes. Fractions sum to at most 1, so the nodes with the
// oldest plans are counted first until that is reached.
func (t *lagTracker) charge(key flowKey, lagging []laggingNode, ref int) uint32 {
	first := max(lagging[0].planIndex, 0)
	distances := t.history.maxDistances(first, ref, key)
	sum, left := 0.0, 1.0
	for _, l := range lagging {
		ppm := distances[max(l.planIndex, 0)-first]
		if l.planIndex < 0 {
			ppm = min(ppm+t.history.untrackedMoves[key], plan.Whole)
		}
		if ppm == 0 || left <= 0 {
			break
		}
		fraction := min(t.fractionOf(l.node, key), left)
		left -= fraction
		sum += float64(ppm) * fraction
	}
	return uint32(math.Ceil(min(sum, plan.Whole)))
}

// fractionOf returns the fraction of a flow that a node may serve. It is at least
// an even split, since callers that left may return, and twice that for a node
// without measurements. It is also at least what the grants permit: callers of
// stopped nodes may crowd to a silent one after its last report, but it refuses
// requests above its grants.
func (t *lagTracker) fractionOf(n *nodeState, key flowKey) float64 {
	even := 1 / float64(len(t.nodes))
	fraction := fractionMargin * even
	if measured := n.fractions[key]; measured != nil {
		fraction = max(even, fractionMargin*measured.value())
	}
	return max(fraction, t.permittedFraction(n, key))
}

// permittedFraction returns the fraction of a flow that a node's grants permit, 1
// if no fresh report contains the flow.
func (t *lagTracker) permittedFraction(n *nodeState, key flowKey) float64 {
	rps, interval := n.permittedRPS[key.service], t.requestIntervals[key]
	if rps == nil || interval == nil || rps.value() <= 0 {
		return 0
	}
	return min(1, rps.value()*interval.value())
}

// windowMax tracks the maximum over roughly the last one to two windows.
type windowMax struct {
	since             time.Time
	current, previous float64
}

func (m *windowMax) add(value float64, window time.Duration, now time.Time) {
	if now.Sub(m.since) > window {
		m.previous, m.current, m.since = m.current, 0, now
	}
	m.current = max(m.current, value)
}

func (m *windowMax) value() float64 { return max(m.current, m.previous) }
