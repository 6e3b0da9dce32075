package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/allocate"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/holder"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/steering/planner"
	"github.com/yuccaroute/yuccaroute/store"
)

// Load of the simulated fleet.
const (
	// busyUse is the part of the capacity that callers ask for.
	busyUse = 0.6
	// siteRPS is the capacity of each service at each site.
	siteRPS = 1000
	// services is how many services the account has.
	services = 2
)

// deciderWorld is one decider and the fleet that reports to it.
type deciderWorld struct {
	random *rand.Rand
	// use is the part of the capacity that callers ask for.
	use float64
	// withCallers is how many nodes callers reach.
	withCallers int
	now         time.Time
	account     *model.Account
	core        *decider.Core
	nodes       []*simulatedNode
	// relays are by failure domain; there are none where reports go directly.
	relays map[string]*simulatedRelay
	listed []ledger.Listed
	// revision counts the writes that the simulated store took.
	revision store.Revision
	// plan is the one given out last, nil before the first.
	plan        *plan.Plan
	ledgerBytes int
	planBytes   int
	counts      deciderCounts
}

// simulatedNode is one node as its decider sees it.
type simulatedNode struct {
	ref *peerpb.NodeRef
	// next is when the node measures, due when it reports, restDue when it does
	// with nothing to tell.
	next, due, restDue time.Time
	// measured is what it measured since its last report.
	measured observe.Report
	// held tells that a relay holds a report of the node.
	held bool
	// callers tells that callers reach the node.
	callers bool
	told    holder.ReportTracker
	holder  *holder.Core
}

func newDeciderWorld(shape deciderShape, seed uint64) (*deciderWorld, error) {
	d := &deciderWorld{
		random:      rand.New(rand.NewPCG(seed, 0)),
		use:         shape.use,
		withCallers: max(shape.nodes/max(shape.oneIn, 1), 1),
		now:         time.Unix(1_000_000, 0),
		account:     deciderAccount(shape.sites),
	}
	options := decider.Options{
		Ledger:           ledger.DefaultParams(),
		Allocate:         allocate.DefaultParams(),
		Planner:          planner.New(),
		ReportsPerSecond: decider.DefaultReportsPerSecond,
	}
	core, err := decider.NewCore(options, d.account, 1, store.Entry{}, d.now)
	if err != nil {
		return nil, err
	}
	d.core = core
	d.addNodes(shape.nodes, max(shape.oneIn, 1))
	if shape.relays {
		d.addRelays()
	}
	return d, nil
}

func (d *deciderWorld) addNodes(count, oneIn int) {
	for i, vm := range fleet(count).VMs {
		address := fmt.Sprintf("10.0.%d.%d:7070", i>>8, i&0xff)
		d.listed = append(d.listed, ledger.Listed{VM: vm.ID, Address: address})
		d.nodes = append(d.nodes, &simulatedNode{
			ref: &peerpb.NodeRef{
				Vm: vm.ID, Incarnation: d.random.Uint64(), PeerAddress: address,
				Place: string(vm.Place), Region: string(vm.Region),
			},
			next:    d.now.Add(time.Duration(d.random.Float64() * float64(ledgerStep))),
			callers: i%oneIn == 0,
			holder:  newHolder(vm),
		})
	}
}

// newHolder returns the grants of a node that has none yet.
func newHolder(vm membership.VM) *holder.Core {
	return holder.New(holder.Options{
		Node:           grant.NodeID{VM: vm.ID},
		Region:         vm.Region,
		Account:        accountName,
		Params:         ledger.DefaultParams(),
		RequestTimeout: holder.DefaultRequestTimeout,
		LendShare:      holder.DefaultLendShare,
	})
}

// deciderAccount has its sites spread evenly over the target's regions.
func deciderAccount(sites int) *model.Account {
	a := &model.Account{
		Name: accountName, Revision: 1,
		Moves:  model.MoveLimits{Share: 0.1, Window: 30 * time.Second},
		Policy: model.Policy{LatencyWeight: 0.5, HeadroomWeight: 0.5, Headroom: 0.15},
	}
	regions := min(targetRegions, sites)
	for r := range regions {
		inRegion := float64((sites + regions - 1) / regions)
		region := model.Region{Name: regionName(r), CapacityRPS: inRegion * services * siteRPS, LinkInRPS: inRegion * siteRPS}
		for other := range regions {
			if other != r {
				region.Delays = append(region.Delays, model.Delay{To: regionName(other), OneWay: 20 * time.Millisecond})
			}
		}
		a.Regions = append(a.Regions, region)
	}
	for s := range services {
		a.Services = append(a.Services, model.Service{Name: serviceName(s), SlotsPerTarget: 4, ConnectionsPerTarget: 300, Deadline: time.Second})
	}
	for i := range sites {
		place := model.PlaceName(fmt.Sprintf("site-%03d", i))
		a.Places = append(a.Places, model.Place{Name: place, Region: regionName(i % regions)})
		for s := range services {
			a.Services[s].Capacity = append(a.Services[s].Capacity, model.PlaceCapacity{Place: place, RPS: siteRPS})
		}
	}
	return a
}

func serviceName(i int) model.ServiceName {
	return model.ServiceName(fmt.Sprintf("service-%d", i))
}

// step is the decider's work of one second.
func (d *deciderWorld) step() error {
	started := time.Now()
	d.core.ObserveVMs(d.listed, 1, d.now)
	write, due := d.core.Step(d.account, d.now)
	if due {
		d.revision++
		d.ledgerBytes = len(write.Value)
		d.counts.writes++
		d.counts.writeBytes += uint64(len(write.Value))
		if err := d.core.Settle(d.revision, nil); err != nil {
			return err
		}
	}
	asked := d.core.NodesToHasten(d.now)
	d.counts.stepTime += time.Since(started)
	d.hasten(asked)
	return d.publish()
}

// hasten makes the nodes that the decider asks report at once.
func (d *deciderWorld) hasten(asked []ledger.Node) {
	d.counts.asked += uint64(len(asked))
	for _, node := range asked {
		for _, n := range d.nodes {
			if n.ref.Vm == node.ID.VM && !n.held {
				d.report(n, true)
			}
		}
	}
}

func (d *deciderWorld) publish() error {
	p := d.core.CommittedPlan()
	if p == nil || p == d.plan {
		return nil
	}
	d.plan = p
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	d.planBytes = len(body)
	d.counts.plans++
	d.counts.planBytes += uint64(len(body))
	return nil
}

// second delivers the reports of the next second, in steps of a tenth.
func (d *deciderWorld) second() {
	const parts = 10
	for range parts {
		d.now = d.now.Add(ledgerStep / parts)
		for _, n := range d.nodes {
			if !n.next.After(d.now) {
				n.next = n.next.Add(ledgerStep)
				d.round(n)
			}
		}
		d.sendBatches()
	}
}

// round measures a second of a node and makes its report if it is due and the
// node has something to tell.
func (d *deciderWorld) round(n *simulatedNode) {
	n.holder.Tick(d.now)
	recent := d.measure(n)
	n.measured = observe.Join(n.measured, recent)
	if n.held || n.due.After(d.now) || d.now.Before(n.restDue) && n.told.UpToDate(recent, n.measured, n.holder.Set()) {
		return
	}
	d.report(n, false)
}

// sentReport is a report under way.
type sentReport struct {
	node     *simulatedNode
	request  *peerpb.RenewRequest
	measured observe.Report
	// acknowledged is what it acknowledges, and when it left.
	acknowledged holder.SentRequest
}

// report makes the report of a node. One that is urgent does not wait at a relay.
func (d *deciderWorld) report(n *simulatedNode, urgent bool) {
	measured := n.measured
	n.measured = observe.Report{}
	acknowledged := n.holder.StartRequest(d.now)
	request := holder.NewRequest(measured)
	request.Node, request.Account = n.ref, string(accountName)
	request.AppliedEpoch, request.AppliedSequence, request.GrantNames = acknowledged.Epoch, acknowledged.Sequence, acknowledged.GrantNames
	n.told.OmitKnown(request, measured, n.holder.Set(), d.now)
	sent := &sentReport{node: n, request: request, measured: measured, acknowledged: acknowledged}
	if d.relays[n.ref.Place] != nil {
		d.pass(sent, urgent)
		return
	}
	started := time.Now()
	answer := d.core.Renew(request, d.now)
	d.counts.renewTime += time.Since(started)
	d.counts.take(1, request, answer)
	d.answered(sent, answer)
}

// answered takes in the answer to a report.
func (d *deciderWorld) answered(sent *sentReport, answer *peerpb.RenewResponse) {
	n := sent.node
	d.counts.reports++
	interval := max(time.Duration(answer.NextMs)*time.Millisecond, ledgerStep)
	at := sent.acknowledged.At
	n.due = at.Add(d.jitter(interval))
	n.restDue = at.Add(d.jitter(max(interval, holder.SteadyReportInterval)))
	if n.holder.HandleResponse(sent.acknowledged, answer, d.now) != holder.Applied {
		n.told.Reset()
		return
	}
	n.told.RecordAnswer(sent.request, sent.measured, answer, at)
}

// jitter spreads reports as nodes do.
func (d *deciderWorld) jitter(interval time.Duration) time.Duration {
	const share = 0.1
	return time.Duration(float64(interval) * (1 - share*d.random.Float64()))
}

// measure is what a node measures in a second that follows the plan, whose callers
// are all in its own region and whose traffic varies as independent arrivals do.
func (d *deciderWorld) measure(n *simulatedNode) observe.Report {
	r := observe.Report{Account: accountName, Interval: ledgerStep}
	mean := 0.0
	if n.callers {
		mean = d.use * siteRPS * float64(len(d.account.Places)) / float64(d.withCallers)
	}
	for s := range services {
		offered := max(0, mean+d.random.NormFloat64()*math.Sqrt(mean))
		flow := observe.FlowDemand{Service: serviceName(s), Caller: model.RegionName(n.ref.Region), OfferedRPS: offered}
		r.Flows = append(r.Flows, flow)
		for _, place := range d.account.Places {
			r.Places = append(r.Places, d.load(flow.Service, place.Name, offered*d.share(&flow, place.Name)))
		}
	}
	return r
}

// share is the part of a flow that goes to a place by the plan, 0 to 1.
func (d *deciderWorld) share(flow *observe.FlowDemand, place model.PlaceName) float64 {
	if d.plan == nil {
		return 0
	}
	planned := d.plan.Flow(flow.Service, flow.Caller)
	if planned == nil {
		return 0
	}
	for _, s := range planned.Shares {
		if s.Place == place {
			return float64(s.PPM) / plan.Whole
		}
	}
	return 0
}

func (d *deciderWorld) load(service model.ServiceName, place model.PlaceName, sent float64) observe.PlaceLoad {
	load := observe.PlaceLoad{Service: service, Place: place, SentRPS: sent, Targets: 3, Known: 3}
	if sent > 0 {
		load.P50 = time.Duration(7000+d.random.IntN(2000)) * time.Microsecond
		load.P99 = time.Duration(20000+d.random.IntN(9000)) * time.Microsecond
	}
	return load
}
