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
	// usable is the part of the targets that work, 0 to 1; failing is the part
	// of the requests that fail, which probes do not see.
	usable, failing float64
	// sent is the rate of the last second; warm is the rate the caches hold.
	sent, warm float64
	latencyMS  float64
	p99MS      float64
}

// world is the model of everything outside steering.
type world struct {
	tenant   *tenant
	account  *model.Account
	start    time.Time
	now      time.Time
	demand   map[flowName]float64
	cells    map[cellName]*cellState
	reported []report // newest last
	// silent stops reports.
	silent bool
	// paused is the index of a node that applies no plan, -1 for none.
	paused int
	// lag is how old a report is when it arrives, in seconds.
	lag        int
	moved      []steering.Move
	made       []time.Time
	aggregator *aggregate.Aggregator
}

// report is what all nodes measured in one second.
type report struct {
	at time.Time
	observe.Report
}

func newWorld(t *tenant) *world {
	w := &world{
		tenant:     t,
		account:    t.account(),
		start:      time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC),
		demand:     make(map[flowName]float64),
		cells:      make(map[cellName]*cellState),
		lag:        3,
		paused:     -1,
		aggregator: aggregate.New(),
	}
	w.now = w.start
	for _, s := range w.account.Services {
		for _, p := range w.account.Places {
			w.cells[cellName{s.Name, p.Name}] = &cellState{usable: 1}
		}
	}
	w.load(0.45)
	return w
}

// load sets every flow to a part of its own region's capacity.
func (w *world) load(part float64) {
	for _, s := range w.account.Services {
		for _, r := range w.account.Regions {
			w.demand[flowName{s.Name, r.Name}] = part * 2 * w.tenant.capacity[s.Name]
		}
	}
}

// setPlace sets the part of the targets that work in a place.
func (w *world) setPlace(place model.PlaceName, usable float64) {
	for name, c := range w.cells {
		if name.place == place {
			c.usable = usable
		}
	}
}

// coldFactor is how much slower a request is that misses the caches.
const coldFactor = 4

// serve puts a second of load on a cell.
func (c *cellState) serve(capacity, baseMS float64) {
	utilisation := 0.99
	if capacity > 0 {
		utilisation = min(0.99, c.sent/capacity)
	}
	c.latencyMS = baseMS * (1 + math.Pow(utilisation, 6)/(1-utilisation)/4)
	cold := c.coldPart()
	c.p99MS = 2 * c.latencyMS
	if cold > 0.01 {
		c.p99MS = 2 * c.latencyMS * (1 + (coldFactor-1)*min(1, cold*4))
	}
	// Caches hold a tenth more of what they miss after each second.
	c.warm += (c.sent - c.warm) * 0.1
}

func (c *cellState) coldPart() float64 {
	if c.sent <= 0 {
		return 0
	}
	return max(0, c.sent-c.warm) / c.sent
}

// observe makes the report of this second, from what nodes see.
func (w *world) observe() {
	if w.silent {
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
	w.reported = append(w.reported, r)
}

func (w *world) loadOf(name cellName) observe.PlaceLoad {
	const known = 20
	c := w.cells[name]
	load := observe.PlaceLoad{
		Service: name.service,
		Place:   name.place,
		SentRPS: c.sent,
		Targets: int(math.Round(c.usable * known)),
		Known:   known,
	}
	if c.sent > 0 {
		load.P50 = fromMS(c.latencyMS)
		load.P99 = fromMS(c.p99MS)
		load.FailureShare = c.failing
	}
	return load
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// input is what the decider knows now.
func (w *world) input(previous *plan.Plan, sequence uint64) steering.Input {
	in := steering.Input{Account: w.account, Now: w.now, Previous: previous, Epoch: 1, Sequence: sequence}
	for i, m := range w.moved {
		m.Age = w.now.Sub(w.made[i])
		if m.Age <= steering.MoveHistoryWindows*w.account.Moves.Window {
			in.RecentMoves = append(in.RecentMoves, m)
		}
	}
	newest := w.newest()
	if newest == nil {
		return in
	}
	reports := []aggregate.Report{{Report: newest.Report, Age: w.now.Sub(newest.at)}}
	in.Demand, in.Places = w.aggregator.Update(w.account, reports, in.RecentMoves, w.now)
	return in
}

// newest returns the last report that has arrived by now.
func (w *world) newest() *report {
	for i := len(w.reported) - 1; i >= 0; i-- {
		if w.now.Sub(w.reported[i].at) >= time.Duration(w.lag)*time.Second {
			return &w.reported[i]
		}
	}
	return nil
}

func (w *world) record(moves []steering.Move) {
	for _, m := range moves {
		w.moved = append(w.moved, m)
		w.made = append(w.made, w.now)
	}
}

// stopDrained stops the targets of a place when its drain ends, and starts
// them when it is over.
func (w *world) stopDrained() {
	for _, d := range w.account.Drains {
		if w.now.Equal(d.End) {
			w.setPlace(d.Place, 0)
		}
		if w.now.Equal(d.Until) {
			w.setPlace(d.Place, 1)
		}
	}
}

// takeover lets another decider take over: it counts every move as made now
// and knows no measurement but the newest.
func (w *world) takeover() {
	for i := range w.made {
		w.made[i] = w.now
	}
	w.aggregator = aggregate.New()
}
