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

// simulation replays a load on several VMs' balancers and simulated targets, with virtual
// time. Targets have slots and a queue, and keep the keys they handled last.
type simulation struct {
	t         *testing.T
	now       time.Time
	events    events
	seq       int
	random    *rand.Rand
	balancers []*Balancer
	targets   map[string]*simTarget
	classes   []*Class
	// objective and deadline of every request, cold and warm its work.
	objective, deadline, cold, warm time.Duration
	reportInterval                  time.Duration
	// routeByOwner has the owner of a key among the VMs of a region decide on its requests.
	routeByOwner bool
	result       simulationResult
}

type simulationResult struct {
	sent, inObjective, late, refused, failed int
	// perSecond counts the arrivals at each target in each second.
	perSecond map[string]map[int]int
	// regions counts where the requests of each region's callers ran, in windows
	// of two seconds.
	regions map[int]map[string]float64
	// coldRuns counts the runs of keys that their target did not have at hand.
	coldRuns int
}

type simTarget struct {
	id, region string
	slots      int
	running    int
	queue      []func()
	warmKeys   []uint64
	slowdown   float64
	// maxKeys is how many keys it keeps.
	maxKeys int
}

// maxWarmKeysPerTarget is how many keys a simulated target keeps at hand.
const maxWarmKeysPerTarget = 40

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

// farDelay is between regions, there and back.
const farDelay = 24 * time.Millisecond

// simulationConfig is what a world is made of.
type simulationConfig struct {
	// regions has the targets of each region by its name; vms is for each region.
	regions    map[string]int
	vms, slots int
	// cold is the work on a key that a target does not know, a warm run takes 0.3 of it.
	cold time.Duration
	// coldRate is what a target bears after its start, 0 without a bound.
	coldRate float64
	// warmKeys is how many keys a target keeps at hand.
	warmKeys            int
	objective, deadline time.Duration
}

// newSimulation has vms VMs and targets targets in each of the regions.
func newSimulation(t *testing.T, regions map[string]int, vms, slots int, cold time.Duration, coldRate float64) *simulation {
	return newSimulationFrom(t, simulationConfig{
		regions: regions, vms: vms, slots: slots, cold: cold, coldRate: coldRate, warmKeys: maxWarmKeysPerTarget,
		objective: 300 * time.Millisecond, deadline: time.Second,
	})
}

func newSimulationFrom(t *testing.T, o simulationConfig) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)),
		targets: make(map[string]*simTarget), objective: o.objective, deadline: o.deadline,
		cold: o.cold, warm: o.cold * 3 / 10, reportInterval: max(minReportInterval, o.cold/50),
		result: simulationResult{perSecond: make(map[string]map[int]int), regions: make(map[int]map[string]float64)},
	}
	names := slices.Sorted(maps.Keys(o.regions))
	regionOf := make(map[string]string)
	var list []TargetSpec
	for _, region := range names {
		regionOf[region+"1"] = region
		for i := range o.regions[region] {
			id := fmt.Sprintf("%s-%d", region, i)
			w.targets[id] = &simTarget{id: id, region: region, slots: o.slots, slowdown: 1, maxKeys: o.warmKeys}
			list = append(list, TargetSpec{Target: site.Target{ID: id, Service: serviceName, Zone: region + "1", Slots: o.slots}})
		}
	}
	service := map[string]site.Service{serviceName: {Name: serviceName, ColdRate: o.coldRate, ColdTime: 3 * time.Second}}
	for _, region := range names {
		w.addVMs(region, o.vms, regionOf, service, list)
	}
	return w
}

// addVMs puts VMs in a region.
func (w *simulation) addVMs(region string, vms int, regionOf map[string]string, service map[string]site.Service, list []TargetSpec) {
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%s-%d", region, i))
	}
	for _, name := range names {
		b := New(Options{
			VM: name, Zone: region + "1", Region: region, RegionOf: regionOf,
			RTT: func(to string) time.Duration {
				if to == region {
					return time.Millisecond
				}
				return farDelay
			},
		})
		b.SetVMs(names)
		b.SetTargets(w.now, service, list, nil)
		w.balancers = append(w.balancers, b)
		w.classes = append(w.classes, NewClass(w.objective))
	}
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, run})
}

// minReportInterval is how often the balancers tell each other; they do so less often where work
// takes seconds.
const minReportInterval = 20 * time.Millisecond

// run plays for a time; the balancers tell each other every turn.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	w.exchange(end)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *simulation) exchange(end time.Time) {
	for i, from := range w.balancers {
		inFlight, needs := from.Report(w.now)
		for j, to := range w.balancers {
			if i != j {
				to.SetPeerReport(w.now, from.options.VM, &PeerReport{
					InFlight: inFlight, Demand: map[string]map[string]float64{from.options.Region: needs}, At: w.now,
				})
			}
		}
	}
	for _, b := range w.balancers {
		b.Tick(w.now)
	}
	if w.now.Before(end) {
		w.schedule(w.reportInterval, func() { w.exchange(end) })
	}
}

// load sends perSecond requests a second through each VM, about things keys,
// for a time.
func (w *simulation) load(perSecond float64, keys int, d time.Duration) {
	for i := range w.balancers {
		var next func()
		end := w.now.Add(d)
		next = func() {
			if w.now.After(end) {
				return
			}
			w.sendRequest(i, HashOf(fmt.Sprint("object-", w.random.IntN(keys))))
			w.schedule(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		w.schedule(time.Duration(w.random.Float64()/perSecond*float64(time.Second)), next)
	}
}

func (w *simulation) sendRequest(vm int, key uint64) {
	w.result.sent++
	if w.routeByOwner {
		vm = w.ownerOf(vm, key)
	}
	b := w.balancers[vm]
	arrived := w.now
	r := &Request{
		Service: serviceName, Class: w.classes[vm], Key: key, HasKey: true,
		Objective: arrived.Add(w.objective), Deadline: arrived.Add(w.deadline),
	}
	d, waiter := b.Place(w.now, r)
	if waiter == nil {
		w.handleDecision(vm, r, d, arrived)
		return
	}
	var poll func()
	poll = func() {
		select {
		case d := <-waiter.Decided():
			w.handleDecision(vm, r, d, arrived)
		default:
			if w.now.After(r.Deadline) {
				w.t.Fatal("a request waits beyond its deadline")
			}
			w.schedule(time.Millisecond, poll)
		}
	}
	poll()
}

// ownerOf is the VM of the same region that decides on a key.
func (w *simulation) ownerOf(vm int, key uint64) int {
	best, highest := vm, uint64(0)
	for i, b := range w.balancers {
		if b.options.Region != w.balancers[vm].options.Region {
			continue
		}
		if rank := Rendezvous(key, b.hash); rank > highest {
			best, highest = i, rank
		}
	}
	return best
}

func (w *simulation) handleDecision(vm int, r *Request, d Decision, arrived time.Time) {
	if d.Target == nil {
		w.result.refused++
		return
	}
	s := w.targets[d.Target.ID]
	w.countArrival(vm, s)
	sent := w.now
	delay := w.balancers[vm].options.RTT(s.region)
	start := func() {
		work := w.cold
		if s.isWarm(r.Key) {
			work = w.warm
		} else {
			w.result.coldRuns++
		}
		work = time.Duration(float64(work) * s.slowdown * (0.85 + 0.3*w.random.Float64()))
		w.schedule(work, func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				s.running++
				next()
			}
			w.schedule(delay/2, func() {
				end := Answered
				if w.now.After(r.Deadline) {
					end = Cancelled
					w.result.failed++
				} else if w.now.After(r.Objective) {
					w.result.late++
				} else {
					w.result.inObjective++
				}
				w.balancers[vm].Done(w.now, d, w.classes[vm], end, w.now.Sub(sent))
			})
		})
	}
	w.schedule(delay/2, func() {
		if s.running < s.slots {
			s.running++
			start()
			return
		}
		s.queue = append(s.queue, start)
	})
}

func (w *simulation) countArrival(vm int, s *simTarget) {
	if w.result.perSecond[s.id] == nil {
		w.result.perSecond[s.id] = make(map[int]int)
	}
	w.result.perSecond[s.id][int(w.now.UnixMilli()/100)]++
	window := int(w.now.Unix() / 2)
	if w.result.regions[window] == nil {
		w.result.regions[window] = make(map[string]float64)
	}
	w.result.regions[window][w.balancers[vm].options.Region+">"+s.region]++
}

// share of the requests that met their objective, over those since the last call.
func (w *simulation) takeObjectiveShare() float64 {
	r := w.result
	share := float64(r.inObjective) / float64(max(1, r.sent))
	w.t.Logf("asked %d in objective %d late %d refused %d failed %d, %d cold runs",
		r.sent, r.inObjective, r.late, r.refused, r.failed, r.coldRuns)
	w.result.sent, w.result.inObjective, w.result.late, w.result.refused, w.result.failed = 0, 0, 0, 0, 0
	w.result.coldRuns = 0
	return share
}

// peakPerSecond is the most arrivals at one target in any second.
func (w *simulation) peakPerSecond(id string) int {
	most := 0
	for at := range w.result.perSecond[id] {
		sum := 0
		for tenth := range 10 {
			sum += w.result.perSecond[id][at+tenth]
		}
		most = max(most, sum)
	}
	return most
}
