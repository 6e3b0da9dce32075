package demo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
)

// seriesStep is the time that one point of a series covers.
const seriesStep = time.Second

// Series is what a run showed, second by second from its first request.
type Series struct {
	Scenario string          `json:"scenario"`
	Services []ServiceSeries `json:"services"`
	Marks    []Mark          `json:"marks"`
}

// ServiceSeries is one service as its callers saw it.
type ServiceSeries struct {
	Account model.AccountName `json:"account"`
	Service model.ServiceName `json:"service"`
	Places  []PlaceSeries     `json:"places"`
	// Seconds has a point for each second of the run.
	Seconds []Second `json:"seconds"`
}

// PlaceSeries is what one place ran of a service.
type PlaceSeries struct {
	Place model.PlaceName `json:"place"`
	// RPS is the requests/s that ran, by the second in which they were due.
	RPS []float64 `json:"rps"`
}

// Second is what was told of the requests that were due in one second.
type Second struct {
	// Ran, Refused and Unknown count requests by their outcome.
	Ran     int `json:"ran"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// P50MS and P99MS are latencies of what ran, from when it was due; 0 when
	// nothing ran.
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Mark is an event of the scenario.
type Mark struct {
	AtSeconds float64 `json:"at_seconds"`
	What      string  `json:"what"`
}

// series sorts what callers were told into seconds.
func (r *run) series(told []check.Told) *Series {
	s := &Series{Scenario: r.options.Scenario.Name}
	for _, e := range r.options.Scenario.Events {
		s.Marks = append(s.Marks, Mark{AtSeconds: e.At * r.options.Duration.Seconds(), What: e.What})
	}
	began := firstDue(told)
	seconds := int((r.options.Duration + seriesStep - 1) / seriesStep)
	for _, t := range r.world.Tenants {
		for i := range t.Account.Services {
			counter := newSecondCounter(t.Account, t.Account.Services[i].Name, seconds)
			counter.addAll(began, told)
			s.Services = append(s.Services, counter.series())
		}
	}
	return s
}

func firstDue(told []check.Told) time.Time {
	var first time.Time
	for i := range told {
		if first.IsZero() || told[i].Intended.Before(first) {
			first = told[i].Intended
		}
	}
	return first
}

// secondCounter counts one service.
type secondCounter struct {
	out       ServiceSeries
	places    map[model.PlaceName]int
	latencies []*hdrhistogram.Histogram
}

func newSecondCounter(account *model.Account, service model.ServiceName, seconds int) *secondCounter {
	c := &secondCounter{
		out:    ServiceSeries{Account: account.Name, Service: service, Seconds: make([]Second, seconds)},
		places: make(map[model.PlaceName]int),
	}
	for i, place := range account.Places {
		c.places[place.Name] = i
		c.out.Places = append(c.out.Places, PlaceSeries{Place: place.Name, RPS: make([]float64, seconds)})
	}
	for range seconds {
		c.latencies = append(c.latencies, hdrhistogram.New(1, slowestMicros, histogramDigits))
	}
	return c
}

func (c *secondCounter) addAll(began time.Time, told []check.Told) {
	for i := range told {
		t := &told[i]
		second := int(t.Intended.Sub(began) / seriesStep)
		if t.Account == c.out.Account && t.Service == c.out.Service && second < len(c.out.Seconds) {
			c.add(second, t)
		}
	}
}

func (c *secondCounter) add(second int, t *check.Told) {
	s := &c.out.Seconds[second]
	switch t.Outcome {
	case result.NotRun:
		s.Refused++
		return
	case result.Unknown:
		s.Unknown++
		return
	}
	s.Ran++
	_ = c.latencies[second].RecordValue(min(t.Latency().Microseconds(), slowestMicros))
	if place, known := c.places[t.Place]; known {
		c.out.Places[place].RPS[second]++
	}
}

func (c *secondCounter) series() ServiceSeries {
	for i, latencies := range c.latencies {
		c.out.Seconds[i].P50MS = micros(latencies.ValueAtQuantile(50)).Seconds() * 1000
		c.out.Seconds[i].P99MS = micros(latencies.ValueAtQuantile(99)).Seconds() * 1000
	}
	return c.out
}
