package demo

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
)

// Report is what a run showed.
type Report struct {
	Scenario string
	Took     time.Duration
	Services []ServiceReport
	Regions  []RegionReport
	Drained  []Drained
	Check    *check.Report
	Promises []Promise
	// InForce holds how long each accepted change took until it was in force on
	// every node, ascending; Conflicts counts those refused as another came
	// first.
	InForce   []time.Duration
	Conflicts int
	// Skipped counts requests that were due and not sent, as too many were in
	// progress.
	Skipped int64
	Series  *Series
}

// ServiceReport is one service as its callers saw it.
type ServiceReport struct {
	Account  model.AccountName
	Service  model.ServiceName
	Requests int
	// P50, P99 and P999 are latencies of what ran, from when it was due.
	P50, P99, P999 time.Duration
	// Refused counts requests told as not run, Unknown those whose outcome is
	// not known, Retried those sent more than once.
	Refused, Unknown, Retried int
	// Codes counts the results other than ok.
	Codes map[result.Code]int
}

// RegionReport is the headroom of a region: the part of its capacity that was
// free in its busiest second.
type RegionReport struct {
	Account  model.AccountName
	Region   model.RegionName
	PeakRPS  int
	Capacity float64
}

// Headroom returns the free part, 0 to 1; it is negative above capacity.
func (r *RegionReport) Headroom() float64 { return 1 - float64(r.PeakRPS)/r.Capacity }

// bunching is the spread of the delay between entry VM and target on this
// machine, while everything runs in one process.
const bunching = 100 * time.Millisecond

// report checks the promises and sums up.
func (r *run) report(took time.Duration) *Report {
	told := r.recorder.Told()
	var ran []check.Ran
	var accounts []*model.Account
	regions := make(map[string]model.RegionName)
	for _, t := range r.world.Tenants {
		accounts = append(accounts, t.Account)
		for _, target := range t.Targets {
			ran = append(ran, target.ran()...)
		}
		for _, n := range t.Nodes {
			regions[n.VM().ID] = n.VM().Region
		}
	}
	report := &Report{
		Scenario: r.options.Scenario.Name,
		Took:     took,
		Drained:  r.drained,
		Series:   r.series(told),
		Check: check.Check(check.Input{
			Told:         told,
			Ran:          ran,
			Accounts:     accounts,
			EntryRegions: regions,
			Leaving:      r.leaving,
			Bunching:     bunching,
		}),
	}
	report.Promises = r.promises(report.Check, told)
	report.InForce = r.configuration.times()
	report.Conflicts = r.configuration.conflicts
	for _, t := range r.world.Tenants {
		report.Skipped += r.counts[t.Account.Name].Skipped
		report.addServices(t.Account, told)
		report.addRegions(t.Account, ran)
	}
	return report
}

const (
	// slowestMicros is the longest latency that the histograms tell, in us.
	slowestMicros = int64(time.Minute / time.Microsecond)
	// histogramDigits is the number of decimal digits that they keep.
	histogramDigits = 3
)

func (r *Report) addServices(account *model.Account, told []check.Told) {
	for i := range account.Services {
		name := account.Services[i].Name
		s := ServiceReport{Account: account.Name, Service: name, Codes: make(map[result.Code]int)}
		latencies := hdrhistogram.New(1, slowestMicros, histogramDigits)
		for j := range told {
			if told[j].Service == name && told[j].Account == account.Name {
				s.add(&told[j], latencies)
			}
		}
		s.P50 = micros(latencies.ValueAtQuantile(50))
		s.P99 = micros(latencies.ValueAtQuantile(99))
		s.P999 = micros(latencies.ValueAtQuantile(99.9))
		r.Services = append(r.Services, s)
	}
}

func micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

func (s *ServiceReport) add(told *check.Told, latencies *hdrhistogram.Histogram) {
	s.Requests++
	if told.Attempts > 1 {
		s.Retried++
	}
	switch told.Outcome {
	case result.Ran:
		_ = latencies.RecordValue(min(told.Latency().Microseconds(), slowestMicros))
		return
	case result.NotRun:
		s.Refused++
	default:
		s.Unknown++
	}
	s.Codes[told.Code]++
}

func (r *Report) addRegions(account *model.Account, ran []check.Ran) {
	for _, region := range account.Regions {
		var arrivals []time.Time
		for i := range ran {
			if ran[i].Account == account.Name && account.RegionOf(ran[i].Place) == region.Name {
				arrivals = append(arrivals, ran[i].At)
			}
		}
		r.Regions = append(r.Regions, RegionReport{
			Account:  account.Name,
			Region:   region.Name,
			PeakRPS:  peakPerSecond(arrivals),
			Capacity: region.CapacityRPS,
		})
	}
}

// peakPerSecond returns the most arrivals within any second.
func peakPerSecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	peak, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) >= time.Second {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
}

// Violations returns how many violations of promises were counted.
func (r *Report) Violations() int {
	sum := 0
	for _, p := range r.Promises {
		sum += p.Violations
	}
	return sum
}
