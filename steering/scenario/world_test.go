package scenario

import (
	"math"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
	"github.com/yuccaroute/yuccaroute/steering/aggregate"
)

type cellName struct {
	service model.ServiceName
	place   model.PlaceName
}

type flowName struct {
	service model.ServiceName
	caller  model.RegionName
}

// cellState is the true state of one service in one place.
type cellState struct {
	// usable is the fraction of targets that work, 0 to 1. failureShare is the
	// fraction of requests that fail, which health checks do not detect.
	usable, failureShare float64
	// sentRPS is the rate of the last second, warmRPS the rate with warm caches.
	sentRPS, warmRPS float64
	latencyMS        float64
	p99MS            float64
}

// world simulates everything outside of steering.
type world struct {
	spec    *accountSpec
	account *model.Account
	start   time.Time
	now     time.Time
	demand  map[flowName]float64
	cells   map[cellName]*cellState
	reports []report // newest last
	// reportsStopped is whether nodes have stopped reporting.
	reportsStopped bool
	// pausedNode is the index of a node that applies no plan, -1 for none.
	pausedNode int
	// reportDelay is the age of a report when it arrives, in seconds.
	reportDelay int
	moves       []steering.Move
	moveTimes   []time.Time
	aggregator  *aggregate.Aggregator
}

// report holds the measurements of all nodes in one second.
type report struct {
	at time.Time
	observe.Report
}

func newWorld(t *accountSpec) *world {
	w := &world{
		spec:        t,
		account:     t.account(),
		start:       time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC),
		demand:      make(map[flowName]float64),
		cells:       make(map[cellName]*cellState),
		reportDelay: 3,
		pausedNode:  -1,
		aggregator:  aggregate.New(),
	}
	w.now = w.start
	for _, s := range w.account.Services {
		for _, p := range w.account.Places {
			w.cells[cellName{s.Name, p.Name}] = &cellState{usable: 1}
		}
	}
	w.setDemand(0.45)
	return w
}

// setDemand sets every flow to a fraction of its own region's capacity.
func (w *world) setDemand(part float64) {
	for _, s := range w.account.Services {
		for _, r := range w.account.Regions {
			w.demand[flowName{s.Name, r.Name}] = part * 2 * w.spec.placeRPS[s.Name]
		}
	}
}

// setPlace sets the fraction of the targets that work in a place.
func (w *world) setPlace(place model.PlaceName, usable float64) {
	for name, c := range w.cells {
		if name.place == place {
			c.usable = usable
		}
	}
}

// coldFactor is the relative latency of a request that misses the caches.
const coldFactor = 4

// serve updates latencies and caches after one second of load.
func (c *cellState) serve(capacity, baseMS float64) {
	utilisation := 0.99
	if capacity > 0 {
		utilisation = min(0.99, c.sentRPS/capacity)
	}
	c.latencyMS = baseMS * (1 + math.Pow(utilisation, 6)/(1-utilisation)/4)
	cold := c.coldFraction()
	c.p99MS = 2 * c.latencyMS
	if cold > 0.01 {
		c.p99MS = 2 * c.latencyMS * (1 + (coldFactor-1)*min(1, cold*4))
	}
	// Each second the caches warm up for 10 % of the cold rate.
	c.warmRPS += (c.sentRPS - c.warmRPS) * 0.1
}

func (c *cellState) coldFraction() float64 {
	if c.sentRPS <= 0 {
		return 0
	}
	return max(0, c.sentRPS-c.warmRPS) / c.sentRPS
}

// observe adds the report of this second.
func (w *world) observe() {
	if w.reportsStopped {
		return
	}
	r := report{at: w.now}
	for _, s := range w.account.Services {
		for _, region := range w.account.Regions {
			f := flowName{s.Name, region.Name}
			r.Flows = append(r.Flows, observe.FlowDemand{Service: f.service, Caller: f.caller, OfferedRPS: w.demand[f]})
		}
		for _, p := range w.account.Places {
			r.Places = append(r.Places, w.loadOf(cellName{s.Name, p.Name}))
		}
	}
	w.reports = append(w.reports, r)
}

func (w *world) loadOf(name cellName) observe.PlaceLoad {
	const known = 20
	c := w.cells[name]
	load := observe.PlaceLoad{
		Service: name.service,
		Place:   name.place,
		SentRPS: c.sentRPS,
		Targets: int(math.Round(c.usable * known)),
		Known:   known,
	}
	if c.sentRPS > 0 {
		load.P50 = fromMS(c.latencyMS)
		load.P99 = fromMS(c.p99MS)
		load.FailureShare = c.failureShare
	}
	return load
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// input returns what the decider knows now.
func (w *world) input(previous *plan.Plan, sequence uint64) steering.Input {
	in := steering.Input{Account: w.account, Now: w.now, Previous: previous, Epoch: 1, Sequence: sequence}
	for i, m := range w.moves {
		m.Age = w.now.Sub(w.moveTimes[i])
		if m.Age <= steering.MoveHistoryWindows*w.account.Moves.Window {
			in.RecentMoves = append(in.RecentMoves, m)
		}
	}
	newest := w.newestReport()
	if newest == nil {
		return in
	}
	reports := []aggregate.Report{{Report: newest.Report, Age: w.now.Sub(newest.at)}}
	in.Demand, in.Places = w.aggregator.Update(w.account, reports, in.RecentMoves, w.now)
	return in
}

// newestReport returns the newest report that has arrived by now.
func (w *world) newestReport() *report {
	for i := len(w.reports) - 1; i >= 0; i-- {
		if w.now.Sub(w.reports[i].at) >= time.Duration(w.reportDelay)*time.Second {
			return &w.reports[i]
		}
	}
	return nil
}

func (w *world) recordMoves(moves []steering.Move) {
	for _, m := range moves {
		w.moves = append(w.moves, m)
		w.moveTimes = append(w.moveTimes, w.now)
	}
}

// applyDrains stops the targets of a place at the end of its drain and restarts them
// afterwards.
func (w *world) applyDrains() {
	for _, d := range w.account.Drains {
		if w.now.Equal(d.End) {
			w.setPlace(d.Place, 0)
		}
		if w.now.Equal(d.Until) {
			w.setPlace(d.Place, 1)
		}
	}
}

// takeover changes the decider. The new one counts every move as made now and has no
// averages of earlier measurements.
func (w *world) takeover() {
	for i := range w.moveTimes {
		w.moveTimes[i] = w.now
	}
	w.aggregator = aggregate.New()
}
