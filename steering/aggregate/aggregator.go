// Package aggregate combines the reports of all nodes into the input of Decide:
// the demand of each flow and the state of each service in each place, with their
// ages. It keeps smoothed rates and the latency of each place with warm caches.
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
	// smoothingTime is the time constant of the averages of rates and latencies,
	// which are noisy over one report interval.
	smoothingTime = 4 * time.Second
	// trendTime is the time constant of the slow average that growth is measured
	// against.
	trendTime = 20 * time.Second
	// noiseGrowth is the apparent growth that is attributed to noise.
	noiseGrowth = 0.05
	// maxGrowth bounds the margin after a sudden rise of demand.
	maxGrowth = 0.5
	// warmSmoothingTime is the time constant of the average warm latency.
	warmSmoothingTime = 60 * time.Second
	// warmUpTime is how long caches count as cold after an increase.
	warmUpTime = 30 * time.Second
)

// Report is the last report of one node and its age.
type Report struct {
	observe.Report
	Age time.Duration
}

// Aggregator holds the averages of one account. It is not safe for concurrent use.
type Aggregator struct {
	lastUpdate time.Time
	flows      map[flowKey]*flowRate
	cellRates  map[cellKey]*cellRate
	warmP99    map[cellKey]time.Duration
	// stableFractions holds the fraction of each place's targets that counts as
	// stable.
	stableFractions map[cellKey]*stableFraction
}

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

type cellKey struct {
	service model.ServiceName
	place   model.PlaceName
}

// New returns an aggregator without any measurements.
func New() *Aggregator {
	return &Aggregator{
		flows:           make(map[flowKey]*flowRate),
		cellRates:       make(map[cellKey]*cellRate),
		warmP99:         make(map[cellKey]time.Duration),
		stableFractions: make(map[cellKey]*stableFraction),
	}
}

// Update adds the last reports of all nodes to the averages and returns the demand
// and the state of the places at now, sorted.
func (a *Aggregator) Update(account *model.Account, reports []Report, recentMoves []steering.Move, now time.Time) ([]steering.Demand, []steering.PlaceState) {
	elapsed := now.Sub(a.lastUpdate)
	if a.lastUpdate.IsZero() {
		elapsed = math.MaxInt64
	}
	a.lastUpdate = now
	demand := a.demand(account, reports, elapsed)
	places := a.placeStates(account, reports, recentMoves, elapsed)
	return demand, places
}

// demand sums the rates over the nodes. A silent node counts with its last report,
// since its callers are still there. The age is the mean weighted by rate. A flow
// that a report leaves out had no requests, which is not the same as unknown
// demand: that counts as a large part of the capacity.
func (a *Aggregator) demand(account *model.Account, reports []Report, elapsed time.Duration) []steering.Demand {
	if len(reports) == 0 {
		return nil
	}
	sums := newFlowSums(account)
	for i := range reports {
		for _, f := range reports[i].Flows {
			if validRate(f.OfferedRPS) {
				sums.add(flowKey{f.Service, f.Caller}, f.OfferedRPS, reports[i].Age)
			}
		}
	}
	idleAge := meanAge(reports)
	demand := make([]steering.Demand, 0, len(sums))
	for key, sum := range sums {
		d := steering.Demand{Service: key.service, Caller: key.caller, Age: idleAge}
		if sum.rps > 0 {
			d.Age = time.Duration(sum.age.value())
		}
		d.RPS, d.Margin = a.flowRateOf(key).add(sum.rps, elapsed)
		demand = append(demand, d)
	}
	a.dropUnknownFlows(sums)
	sort.Slice(demand, func(i, j int) bool {
		if demand[i].Service != demand[j].Service {
			return demand[i].Service < demand[j].Service
		}
		return demand[i].Caller < demand[j].Caller
	})
	return demand
}

// flowSums holds the sums of each flow over the nodes.
type flowSums map[flowKey]*flowSum

type flowSum struct {
	rps float64
	age mean
}

func newFlowSums(account *model.Account) flowSums {
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

func (a *Aggregator) dropUnknownFlows(known flowSums) {
	for key := range a.flows {
		if known[key] == nil {
			delete(a.flows, key)
		}
	}
}

func (a *Aggregator) flowRateOf(key flowKey) *flowRate {
	if a.flows[key] == nil {
		a.flows[key] = &flowRate{}
	}
	return a.flows[key]
}

// smoothingWeight returns the weight of a new value in an exponential average.
func smoothingWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(timeConstant))
}

// validRate rejects NaN, infinite and negative rates, which would corrupt the
// averages.
func validRate(rps float64) bool {
	return rps >= 0 && !math.IsInf(rps, 1)
}
