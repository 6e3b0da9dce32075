package aggregate

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/steering"
)

// rounding compensates the floating-point error of a fraction times a count.
const rounding = 1e-9

// cellSums holds the sums over the nodes for one service in one place.
type cellSums struct {
	sent          float64
	usable, known int
	// reportsWithoutTargets counts the reports that list no target, maxKnown is the
	// largest number of targets in one report.
	reportsWithoutTargets, maxKnown int
	p50, p99                        mean
	failures, age                   mean
}

// placeStates sums the measurements of the nodes. Targets are summed as well, so
// that one node that sees all of them down, or up, does not outweigh the others.
func (a *Aggregator) placeStates(account *model.Account, reports []Report, recentMoves []steering.Move, elapsed time.Duration) []steering.PlaceState {
	cells := make(map[cellKey]*cellSums)
	for _, r := range freshReports(reports) {
		addReport(cells, &r)
	}
	increases := lastIncreases(recentMoves)
	states := make([]steering.PlaceState, 0, len(cells))
	for key, c := range cells {
		state := c.state(key)
		a.cellRateOf(key).smooth(&state, elapsed)
		state.Unstable = state.Usable - a.stableTargets(key, &state)
		state.WarmP99 = a.warmLatency(key, &state, increases, elapsed)
		states = append(states, state)
	}
	a.dropUnknownCells(account, cells)
	sort.Slice(states, func(i, j int) bool {
		if states[i].Service != states[j].Service {
			return states[i].Service < states[j].Service
		}
		return states[i].Place < states[j].Place
	})
	return states
}

// dropUnknownCells drops the averages of cells that are neither configured nor
// reported, which would otherwise accumulate. A configured place without reports
// is kept, since its warm latency is needed when they resume.
func (a *Aggregator) dropUnknownCells(account *model.Account, reported map[cellKey]*cellSums) {
	configured := make(map[cellKey]bool)
	for i := range account.Services {
		service := &account.Services[i]
		for _, c := range service.Capacity {
			configured[cellKey{service.Name, c.Place}] = true
		}
	}
	for key := range a.cellRates {
		if !configured[key] && reported[key] == nil {
			delete(a.cellRates, key)
			delete(a.warmP99, key)
			delete(a.stableFractions, key)
		}
	}
}

// freshReports returns the reports that are recent enough for the state of a place.
// If there are none it returns all, and their age marks the state as stale.
func freshReports(reports []Report) []Report {
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

func addReport(cells map[cellKey]*cellSums, r *Report) {
	for i := range r.Places {
		p := &r.Places[i]
		if !validRate(p.SentRPS) {
			continue
		}
		key := cellKey{p.Service, p.Place}
		c := cells[key]
		if c == nil {
			c = &cellSums{}
			cells[key] = c
		}
		c.sent += p.SentRPS
		c.usable += min(max(p.Targets, 0), max(p.Known, 0))
		c.known += max(p.Known, 0)
		c.maxKnown = max(c.maxKnown, p.Known)
		if p.Known <= 0 {
			c.reportsWithoutTargets++
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

// state returns the state of the place. A node that lists no target counts as one
// that sees all targets down. Otherwise the last report of a node that was lost
// with its failure domain would alone keep the place healthy until it is stale.
func (c *cellSums) state(key cellKey) steering.PlaceState {
	return steering.PlaceState{
		Service:      key.service,
		Place:        key.place,
		P50:          time.Duration(c.p50.value()),
		P99:          time.Duration(c.p99.value()),
		FailureShare: c.failures.value(),
		SentRPS:      c.sent,
		Usable:       c.usable,
		Known:        c.known + c.reportsWithoutTargets*c.maxKnown,
		NoTargets:    c.known == 0,
		Age:          time.Duration(c.age.value()),
	}
}

func (a *Aggregator) cellRateOf(key cellKey) *cellRate {
	if a.cellRates[key] == nil {
		a.cellRates[key] = &cellRate{}
	}
	return a.cellRates[key]
}

// stableTargets returns the number of usable targets that count as stable.
func (a *Aggregator) stableTargets(key cellKey, state *steering.PlaceState) int {
	if state.Known == 0 {
		return 0
	}
	fraction := float64(state.Usable) / float64(state.Known)
	if a.stableFractions[key] == nil {
		a.stableFractions[key] = newStableFraction(fraction, a.lastUpdate)
	}
	return int(a.stableFractions[key].update(fraction, a.lastUpdate)*float64(state.Known) + rounding)
}

// lastIncreases returns the age of the newest increase of each cell.
func lastIncreases(recentMoves []steering.Move) map[cellKey]time.Duration {
	ages := make(map[cellKey]time.Duration)
	for i := range recentMoves {
		m := &recentMoves[i]
		key := cellKey{m.Service, m.Place}
		if age, ok := ages[key]; m.Delta > 0 && (!ok || m.Age < age) {
			ages[key] = m.Age
		}
	}
	return ages
}

// warmLatency returns the average latency of a place outside of warm-up after an
// increase. It also follows a place that becomes permanently slow, so that the
// place can take more traffic again.
func (a *Aggregator) warmLatency(key cellKey, state *steering.PlaceState, increases map[cellKey]time.Duration, elapsed time.Duration) time.Duration {
	age, increased := increases[key]
	if state.P99 <= 0 || state.Age >= steering.FreezeAge || (increased && age < warmUpTime) {
		return a.warmP99[key]
	}
	old, ok := a.warmP99[key]
	if !ok {
		a.warmP99[key] = state.P99
		return state.P99
	}
	weight := smoothingWeight(elapsed, warmSmoothingTime)
	a.warmP99[key] = old + time.Duration(weight*float64(state.P99-old))
	return a.warmP99[key]
}
