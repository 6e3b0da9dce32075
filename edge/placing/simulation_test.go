package placing

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// simulation runs the balancers of several VMs against simulated targets in virtual time.
// Targets have slots and a queue, and are warm for the keys they handled last.
type simulation struct {
	t         *testing.T
	now       time.Time
	events    events
	seq       int
	random    *rand.Rand
	balancers []*Balancer
	targets   map[string]*simTarget
	classes   []*Class
	// objective and deadline apply to every request; cold and warm are its service times.
	objective, deadline, cold, warm time.Duration
	reportInterval                  time.Duration
	// reportGroups is the number of groups of VMs that report in turn; 0 lets all report at the same time.
	// exchanges counts the exchanges.
	reportGroups, exchanges int
	// routeByOwner sends each request to the VM of the caller's region that owns its key.
	routeByOwner bool
	// pollInterval is how often a queued request looks for its decision.
	pollInterval time.Duration
	// decided, if set, is called with each decision.
	decided func(vm int, r *Request, d Decision)
	// overload, if set, lets full targets refuse requests.
	overload *overload
	// moments, if set, makes machines slow for moments.
	moments *moments
	// ended, if set, is called at the end of each request, and if it is rejected.
	ended func(r *Request, inObjective bool)
	// policy is that of all VMs.
	policy Policy
	// refused, if set, is told of each refusal, exchanged of each exchange of reports.
	refused   func(vm int, r *Request, d Decision)
	exchanged func()
	// answered, if set, is told of each answer that comes before the deadline.
	answered func(r *Request)
	result   simulationResult
}

type simulationResult struct {
	sent, inObjective, late, rejected, failed int
	// endedIn counts the answers in each second.
	endedIn map[int64]int
	// perSecond counts the arrivals at each target in each second.
	perSecond map[string]map[int]int
	// regions counts requests that may run anywhere by caller and target region, in windows of two
	// seconds.
	regions map[int]map[string]float64
	// coldRuns counts requests that ran on a target that was cold for their key.
	coldRuns int
}

type simTarget struct {
	id, region string
	slots      int
	running    int
	queue      []func()
	warmKeys   []uint64
	slowdown   float64
	// maxKeys is the size of the target's key cache.
	maxKeys int
}

// maxWarmKeysPerTarget is the default size of the key cache of a simulated target.
const maxWarmKeysPerTarget = 40

// isWarm reports whether the target is warm for a key, and makes it warm.
func (s *simTarget) isWarm(key uint64) bool {
	for i, o := range s.warmKeys {
		if o == key {
			s.warmKeys = append(append(s.warmKeys[:i:i], s.warmKeys[i+1:]...), key)
			return true
		}
	}
	s.warmKeys = append(s.warmKeys, key)
	if len(s.warmKeys) > s.maxKeys {
		s.warmKeys = s.warmKeys[1:]
	}
	return false
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const serviceName = "s"

// interRegionRTT is the round-trip time between regions.
const interRegionRTT = 24 * time.Millisecond

// simulationConfig describes the deployment and the requests of a simulation.
type simulationConfig struct {
	// regions is the number of targets in each region, vms the number of VMs per region.
	regions    map[string]int
	vms, slots int
	// cold is the service time for a cold key; a warm one takes 0.3 of it.
	cold time.Duration
	// coldRate limits the requests per second to a cold target; 0 is unlimited.
	coldRate float64
	// warmKeys is the size of a target's key cache.
	warmKeys            int
	objective, deadline time.Duration
	policy              Policy
}

// newSimulation returns a simulation with default key cache, objective and deadline.
func newSimulation(t *testing.T, regions map[string]int, vms, slots int, cold time.Duration, coldRate float64) *simulation {
	return newSimulationFrom(t, simulationConfig{
		regions: regions, vms: vms, slots: slots, cold: cold, coldRate: coldRate, warmKeys: maxWarmKeysPerTarget,
		objective: 300 * time.Millisecond, deadline: time.Second,
	})
}

func newSimulationFrom(t *testing.T, o simulationConfig) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)),
		policy:  o.policy,
		targets: make(map[string]*simTarget), objective: o.objective, deadline: o.deadline,
		cold: o.cold, warm: o.cold * 3 / 10, pollInterval: time.Millisecond, reportInterval: max(minReportInterval, o.cold/50),
		result: simulationResult{endedIn: make(map[int64]int), perSecond: make(map[string]map[int]int), regions: make(map[int]map[string]float64)},
	}
	names := slices.Sorted(maps.Keys(o.regions))
	regionOf := make(map[string]string)
	var list []TargetSpec
	for _, region := range names {
		regionOf[region+"1"] = region
		for i := range o.regions[region] {
			id := fmt.Sprintf("%s-%d", region, i)
			sim.targets[id] = &simTarget{id: id, region: region, slots: o.slots, slowdown: 1, maxKeys: o.warmKeys}
			list = append(list, TargetSpec{Target: site.Target{ID: id, Service: serviceName, Zone: region + "1", Slots: o.slots}})
		}
	}
	service := map[string]site.Service{serviceName: {Name: serviceName, ColdRate: o.coldRate, ColdTime: 3 * time.Second}}
	for _, region := range names {
		sim.addVMs(region, o.vms, regionOf, service, list)
	}
	return sim
}

// addVMs adds the balancers of a region's VMs.
func (sim *simulation) addVMs(region string, vms int, regionOf map[string]string, service map[string]site.Service, list []TargetSpec) {
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%s-%d", region, i))
	}
	for _, name := range names {
		b := New(Options{
			VM: name, Zone: region + "1", Region: region, RegionOf: regionOf, Policy: sim.policy,
			RTT: func(to string) time.Duration {
				if to == region {
					return time.Millisecond
				}
				return interRegionRTT
			},
		})
		b.SetVMs(names)
		b.SetTargets(sim.now, service, list, nil)
		sim.balancers = append(sim.balancers, b)
		sim.classes = append(sim.classes, NewClass(sim.objective))
	}
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.seq, run})
}

// minReportInterval is the shortest interval between reports; it is longer if service times
// are long.
const minReportInterval = 20 * time.Millisecond

// run advances the simulation; the balancers exchange reports every reportInterval.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	sim.exchange(end)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

func (sim *simulation) exchange(end time.Time) {
	sim.exchanges++
	for i, from := range sim.balancers {
		if sim.reportGroups > 0 && (i+sim.exchanges)%sim.reportGroups != 0 {
			continue
		}
		inFlight, demand := from.Report(sim.now)
		restricted := map[string]RestrictedDemand{from.options.Region: from.ReportRestricted(sim.now)}
		for j, to := range sim.balancers {
			if i != j {
				to.SetPeerReport(sim.now, from.options.VM, &PeerReport{
					InFlight: inFlight, Demand: map[string]map[string]float64{from.options.Region: demand}, Restricted: restricted, At: sim.now,
				})
			}
		}
	}
	sim.moments.exchange(sim)
	if sim.exchanged != nil {
		sim.exchanged()
	}
	for _, b := range sim.balancers {
		b.Tick(sim.now)
	}
	if sim.now.Before(end) {
		sim.schedule(sim.reportInterval, func() { sim.exchange(end) })
	}
}

// load sends perSecond requests per second through each VM for a time, with random keys.
func (sim *simulation) load(perSecond float64, keys int, d time.Duration) {
	for i := range sim.balancers {
		var next func()
		end := sim.now.Add(d)
		next = func() {
			if sim.now.After(end) {
				return
			}
			sim.sendRequest(i, HashOf(fmt.Sprint("object-", sim.random.IntN(keys))))
			sim.schedule(time.Duration(sim.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		sim.schedule(time.Duration(sim.random.Float64()/perSecond*float64(time.Second)), next)
	}
}

func (sim *simulation) sendRequest(vm int, key uint64) {
	sim.result.sent++
	if sim.routeByOwner {
		vm = sim.ownerOf(vm, key)
	}
	arrived := sim.now
	r := &Request{
		Service: serviceName, Class: sim.classes[vm], Key: key, HasKey: true,
		Objective: arrived.Add(sim.objective), Deadline: arrived.Add(sim.deadline),
	}
	sim.place(vm, r)
}

// place lets a VM decide on a request, which may wait.
func (sim *simulation) place(vm int, r *Request) {
	d, waiter := sim.balancers[vm].Place(sim.now, r)
	if waiter == nil {
		sim.handleDecision(vm, r, d)
		return
	}
	var poll func()
	poll = func() {
		select {
		case d := <-waiter.Decided():
			sim.handleDecision(vm, r, d)
		default:
			if sim.now.After(r.Deadline) {
				sim.t.Fatal("request is still queued after its deadline")
			}
			sim.schedule(sim.pollInterval, poll)
		}
	}
	poll()
}

// ownerOf returns the VM of the same region that owns a key.
func (sim *simulation) ownerOf(vm int, key uint64) int {
	best, highest := vm, uint64(0)
	for i, b := range sim.balancers {
		if b.options.Region != sim.balancers[vm].options.Region {
			continue
		}
		if rank := Rendezvous(key, b.hash); rank > highest {
			best, highest = i, rank
		}
	}
	return best
}

func (sim *simulation) handleDecision(vm int, r *Request, d Decision) {
	if sim.decided != nil {
		sim.decided(vm, r, d)
	}
	if d.Target == nil {
		sim.result.rejected++
		sim.countEnd(r, false)
		sim.returnCaller(vm, r, d.RetryAfter)
		if sim.refused != nil {
			sim.refused(vm, r, d)
		}
		return
	}
	s := sim.targets[d.Target.ID]
	sim.countArrival(vm, s, r)
	sent := sim.now
	delay := sim.balancers[vm].options.RTT(s.region)
	start := func() {
		work := sim.cold
		if s.isWarm(r.Key) {
			work = sim.warm
		} else {
			sim.result.coldRuns++
		}
		work = time.Duration(float64(work) * s.slowdown * (0.85 + 0.3*sim.random.Float64()))
		work, unexpected := sim.moments.run(sim, s, work)
		sim.schedule(work, func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				s.running++
				next()
			}
			sim.moments.state(sim, s, vm, d, delay/2)
			sim.schedule(delay/2, func() {
				end := Answered
				if sim.now.After(r.Deadline) {
					end = Cancelled
					sim.result.failed++
				} else if sim.now.After(r.Objective) {
					sim.result.late++
				} else {
					sim.result.inObjective++
				}
				if sim.answered != nil && end == Answered {
					sim.answered(r)
				}
				sim.result.endedIn[sim.now.Unix()]++
				sim.moments.answered(sim, vm, d, unexpected, sim.now.Sub(sent))
				sim.countEnd(r, !sim.now.After(r.Objective))
				sim.balancers[vm].Done(sim.now, d, sim.classes[vm], end, sim.now.Sub(sent))
			})
		})
	}
	sim.schedule(delay/2, func() {
		if s.running < s.slots {
			s.running++
			start()
			return
		}
		if sim.overload != nil && len(s.queue) >= sim.overload.queue {
			sim.refuseAtTarget(vm, r, d, sent)
			return
		}
		s.queue = append(s.queue, start)
	})
}

func (sim *simulation) countEnd(r *Request, inObjective bool) {
	if sim.ended != nil {
		sim.ended(r, inObjective)
	}
}

func (sim *simulation) countArrival(vm int, s *simTarget, r *Request) {
	if sim.result.perSecond[s.id] == nil {
		sim.result.perSecond[s.id] = make(map[int]int)
	}
	sim.result.perSecond[s.id][int(sim.now.UnixMilli()/100)]++
	if r.Allowed != nil {
		return
	}
	window := int(sim.now.Unix() / 2)
	if sim.result.regions[window] == nil {
		sim.result.regions[window] = make(map[string]float64)
	}
	sim.result.regions[window][sim.balancers[vm].options.Region+">"+s.region]++
}

// takeObjectiveShare returns the fraction of requests that met their objective since the last
// call.
func (sim *simulation) takeObjectiveShare() float64 {
	r := sim.result
	share := float64(r.inObjective) / float64(max(1, r.sent))
	sim.t.Logf("%d sent, %d within objective, %d late, %d rejected, %d timed out, %d cold runs",
		r.sent, r.inObjective, r.late, r.rejected, r.failed, r.coldRuns)
	sim.result.sent, sim.result.inObjective, sim.result.late, sim.result.rejected, sim.result.failed = 0, 0, 0, 0, 0
	sim.result.coldRuns = 0
	return share
}

// peakPerSecond returns the most arrivals at a target within any second.
func (sim *simulation) peakPerSecond(id string) int {
	most := 0
	for at := range sim.result.perSecond[id] {
		sum := 0
		for tenth := range 10 {
			sum += sim.result.perSecond[id][at+tenth]
		}
		most = max(most, sum)
	}
	return most
}
