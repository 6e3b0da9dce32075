package aggregate

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/steering"
)

// rounding covers the error of a product of a part and a count.
const rounding = 1e-9

// sums is what the nodes measured of one service in one place.
type sums struct {
	sent          float64
	usable, known int
	// without counts the reports that list no target, most is the most targets
	// that one report lists.
	without, most int
	p50, p99      mean
	failures, age mean
}

// places sums the measurements of the nodes. Targets are summed over the
// nodes as well: one node that sees all of them gone, or all of them well,
// weighs no more than its part.
func (a *Aggregator) places(account *model.Account, reports []Report, moved []steering.Move, since time.Duration) []steering.PlaceState {
	cells := make(map[cellKey]*sums)
	for _, r := range current(reports) {
		addReport(cells, &r)
	}
	risen := lastRises(moved)
	states := make([]steering.PlaceState, 0, len(cells))
	for key, c := range cells {
		state := c.state(key)
		a.cellOf(key).smooth(&state, since)
		state.Unstable = state.Usable - a.steadyTargets(key, &state)
		state.WarmP99 = a.warmOf(key, &state, risen, since)
		states = append(states, state)
	}
	a.forgetCells(account, cells)
	sort.Slice(states, func(i, j int) bool {
		if states[i].Service != states[j].Service {
			return states[i].Service < states[j].Service
		}
		return states[i].Place < states[j].Place
	})
	return states
}

// forgetCells drops what was averaged for cells that the account does not
// configure and no report names. Without it a decider that stays for long
// would keep every place that a service ever had. A configured place whose
// reports stop is kept: its warm latency is needed when they return.
func (a *Aggregator) forgetCells(account *model.Account, reported map[cellKey]*sums) {
	configured := make(map[cellKey]bool)
	for i := range account.Services {
		service := &account.Services[i]
		for _, c := range service.Capacity {
			configured[cellKey{service.Name, c.Place}] = true
		}
	}
	for key := range a.cells {
		if !configured[key] && reported[key] == nil {
			delete(a.cells, key)
			delete(a.warm, key)
			delete(a.steady, key)
		}
	}
}

// current leaves out reports too old to tell of a place, unless there are no
// others: then their age tells that the state is stale.
func current(reports []Report) []Report {
	var fresh []Report
	for i := range reports {
		if reports[i].Age < steering.FreezeAge {
			fresh = append(fresh, reports[i])
		}
	}
	if len(fresh) == 0 {
		return reports
	}
	return fresh
}

func addReport(cells map[cellKey]*sums, r *Report) {
	for i := range r.Places {
		p := &r.Places[i]
		if !valid(p.SentRPS) {
			continue
		}
		key := cellKey{p.Service, p.Place}
		c := cells[key]
		if c == nil {
			c = &sums{}
			cells[key] = c
		}
		c.sent += p.SentRPS
		c.usable += min(max(p.Targets, 0), max(p.Known, 0))
		c.known += max(p.Known, 0)
		c.most = max(c.most, p.Known)
		if p.Known <= 0 {
			c.without++
		}
		c.age.add(float64(r.Age), 1)
		c.failures.add(min(max(p.FailureShare, 0), 1), p.SentRPS)
		if p.P50 > 0 {
			c.p50.add(float64(p.P50), p.SentRPS)
		}
		if p.P99 > 0 {
			c.p99.add(float64(p.P99), p.SentRPS)
		}
	}
}

// state joins the sums. A node that lists no target counts as one that sees
// all of them gone: the last report of a node that was lost with its failure
// domain still lists them, and would alone keep the place looking whole until
// it is too old to count.
func (c *sums) state(key cellKey) steering.PlaceState {
	return steering.PlaceState{
		Service:      key.service,
		Place:        key.place,
		P50:          time.Duration(c.p50.value()),
		P99:          time.Duration(c.p99.value()),
		FailureShare: c.failures.value(),
		SentRPS:      c.sent,
		Usable:       c.usable,
		Known:        c.known + c.without*c.most,
		NoTargets:    c.known == 0,
		Age:          time.Duration(c.age.value()),
	}
}

func (a *Aggregator) cellOf(key cellKey) *cellRate {
	if a.cells[key] == nil {
		a.cells[key] = &cellRate{}
	}
	return a.cells[key]
}

// steadyTargets returns the number of usable targets that is relied on.
func (a *Aggregator) steadyTargets(key cellKey, state *steering.PlaceState) int {
	if state.Known == 0 {
		return 0
	}
	part := float64(state.Usable) / float64(state.Known)
	if a.steady[key] == nil {
		a.steady[key] = newSteadyPart(part, a.read)
	}
	return int(a.steady[key].update(part, a.read)*float64(state.Known) + rounding)
}

// lastRises returns for each cell the age of its newest increase.
func lastRises(moved []steering.Move) map[cellKey]time.Duration {
	risen := make(map[cellKey]time.Duration)
	for i := range moved {
		m := &moved[i]
		key := cellKey{m.Service, m.Place}
		if age, ok := risen[key]; m.Delta > 0 && (!ok || m.Age < age) {
			risen[key] = m.Age
		}
	}
	return risen
}

// warmOf keeps the latency a place has when it took no more for a while. A
// place that stays slow for other reasons becomes its own measure with time,
// so that it is not held for ever.
func (a *Aggregator) warmOf(key cellKey, state *steering.PlaceState, risen map[cellKey]time.Duration, since time.Duration) time.Duration {
	age, rose := risen[key]
	if state.P99 <= 0 || state.Age >= steering.FreezeAge || (rose && age < quiet) {
		return a.warm[key]
	}
	old, ok := a.warm[key]
	if !ok {
		a.warm[key] = state.P99
		return state.P99
	}
	weight := weightOf(since, warming)
	a.warm[key] = old + time.Duration(weight*float64(state.P99-old))
	return a.warm[key]
}
