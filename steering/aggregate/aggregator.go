// Package aggregate turns the reports of all nodes into what Decide needs: the
// demand of each flow and the state of each service in each place, each with
// an age. It keeps smoothed rates and what each place's latency was when warm.
package aggregate

import (
	"math"
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/steering"
)

const (
	// smoothing is the time over which rates are averaged: a rate over one
	// report interval moves by chance.
	smoothing = 4 * time.Second
	// trend is the time over which the rate is averaged that growth is told by.
	trend = 20 * time.Second
	// leastGrowth is the growth that chance alone may show.
	leastGrowth = 0.05
	// mostGrowth bounds what a step of the demand adds.
	mostGrowth = 0.5
	// warming is the time over which the warm latency is averaged.
	warming = 60 * time.Second
	// quiet is how long after an increase a latency counts as warm.
	quiet = 30 * time.Second
)

// Report is the last report of one node and its age.
type Report struct {
	observe.Report
	Age time.Duration
}

// Aggregator keeps the averages of one account. It is not safe for use by
// several goroutines.
type Aggregator struct {
	read  time.Time
	flows map[flowKey]*rate
	cells map[cellKey]*cellRate
	warm  map[cellKey]time.Duration
	// steady is the part of the targets of each place that is relied on.
	steady map[cellKey]*steadyPart
}

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

type cellKey struct {
	service model.ServiceName
	place   model.PlaceName
}

// New returns an aggregator that has read nothing yet.
func New() *Aggregator {
	return &Aggregator{
		flows:  make(map[flowKey]*rate),
		cells:  make(map[cellKey]*cellRate),
		warm:   make(map[cellKey]time.Duration),
		steady: make(map[cellKey]*steadyPart),
	}
}

// Update takes in the last reports of all nodes and the moves made lately, and
// returns the demand and the state of the places at now, sorted.
func (a *Aggregator) Update(account *model.Account, reports []Report, moved []steering.Move, now time.Time) ([]steering.Demand, []steering.PlaceState) {
	since := now.Sub(a.read)
	if a.read.IsZero() {
		since = math.MaxInt64
	}
	a.read = now
	demand := a.demand(account, reports, since)
	places := a.places(account, reports, moved, since)
	return demand, places
}

// demand sums the rates over the nodes. A node that is silent counts with its
// last report, because its callers are still there; the age is the mean over
// the sum. A flow that a report leaves out had no request: what is missing is
// a report, not its zeros. Taken for unknown, a flow with few requests would
// count as a large part of the capacity in every quiet second.
func (a *Aggregator) demand(account *model.Account, reports []Report, since time.Duration) []steering.Demand {
	if len(reports) == 0 {
		return nil
	}
	sums := emptySums(account)
	for i := range reports {
		for _, f := range reports[i].Flows {
			if valid(f.OfferedRPS) {
				sums.add(flowKey{f.Service, f.Caller}, f.OfferedRPS, reports[i].Age)
			}
		}
	}
	quiet := meanAge(reports)
	demand := make([]steering.Demand, 0, len(sums))
	for key, sum := range sums {
		d := steering.Demand{Service: key.service, Caller: key.caller, Age: quiet}
		if sum.rps > 0 {
			d.Age = time.Duration(sum.age.value())
		}
		d.RPS, d.Margin = a.rateOf(key).add(sum.rps, since)
		demand = append(demand, d)
	}
	a.forgetFlows(sums)
	sort.Slice(demand, func(i, j int) bool {
		if demand[i].Service != demand[j].Service {
			return demand[i].Service < demand[j].Service
		}
		return demand[i].Caller < demand[j].Caller
	})
	return demand
}

// flowSums holds what the nodes report of each flow.
type flowSums map[flowKey]*flowSum

type flowSum struct {
	rps float64
	age mean
}

func emptySums(account *model.Account) flowSums {
	sums := make(flowSums)
	for i := range account.Services {
		for j := range account.Regions {
			sums[flowKey{account.Services[i].Name, account.Regions[j].Name}] = &flowSum{}
		}
	}
	return sums
}

func (s flowSums) add(key flowKey, rps float64, age time.Duration) {
	sum := s[key]
	if sum == nil {
		sum = &flowSum{}
		s[key] = sum
	}
	sum.rps += rps
	sum.age.add(float64(age), rps)
}

func meanAge(reports []Report) time.Duration {
	var m mean
	for i := range reports {
		m.add(float64(reports[i].Age), 1)
	}
	return time.Duration(m.value())
}

func (a *Aggregator) forgetFlows(known flowSums) {
	for key := range a.flows {
		if known[key] == nil {
			delete(a.flows, key)
		}
	}
}

func (a *Aggregator) rateOf(key flowKey) *rate {
	if a.flows[key] == nil {
		a.flows[key] = &rate{}
	}
	return a.flows[key]
}

// weightOf is the part a new value has in an average over a time.
func weightOf(since, over time.Duration) float64 {
	return 1 - math.Exp(-float64(since)/float64(over))
}

// valid refuses what is no rate: it would spoil every later average.
func valid(rps float64) bool {
	return rps >= 0 && !math.IsInf(rps, 1)
}
