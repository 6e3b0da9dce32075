package experiment

import (
	"fmt"
	"strconv"
	"time"

	"gopkg.in/ini.v1"

	"github.com/yuccaroute/yuccaroute/bench/load"
	"github.com/yuccaroute/yuccaroute/bench/report"
)

func (p *parser) compare(section *ini.Section) {
	const largestRatio = 1000
	for _, key := range section.Keys() {
		limit := p.number(section, key, key.String(), 0, largestRatio)
		p.experiment.Compare = append(p.experiment.Compare, report.RatioBound{Metric: key.Name(), Max: limit})
	}
}

func (p *parser) number(section *ini.Section, key *ini.Key, text string, low, high float64) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value < low || value > high {
		p.fault(section, key.Name(), fmt.Sprintf("%q is not a number from %g to %g", text, low, high))
	}
	return value
}

func (p *parser) numbers(section *ini.Section, key *ini.Key, low, high float64) []float64 {
	var values []float64
	for _, text := range key.Strings(",") {
		values = append(values, p.number(section, key, text, low, high))
	}
	return values
}

func (p *parser) integer(section *ini.Section, key *ini.Key, low, high int) int {
	value, err := key.Int()
	if err != nil || value < low || value > high {
		p.fault(section, key.Name(), fmt.Sprintf("%q is not a whole number from %d to %d", key.String(), low, high))
	}
	return value
}

func (p *parser) seeds(section *ini.Section, key *ini.Key) []uint64 {
	var seeds []uint64
	for _, text := range key.Strings(",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			p.fault(section, key.Name(), fmt.Sprintf("%q is not a whole number of at least 0", text))
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

func (p *parser) duration(section *ini.Section, key *ini.Key, low time.Duration) time.Duration {
	value, err := time.ParseDuration(key.String())
	if err != nil || value < low || value > load.MaxDuration {
		p.fault(section, key.Name(), fmt.Sprintf("%q is not a duration with a unit, from %v to %v", key.String(), low, load.MaxDuration))
	}
	return value
}

// total refuses experiments that would hold the machine for long.
func (p *parser) total() {
	e := p.experiment
	if e.Name == "" {
		p.faults = append(p.faults, "section [experiment], key name: missing")
	}
	if p.scenarios == 0 {
		p.faults = append(p.faults, "no [scenario NAME] section")
	}
	if total := e.Estimate(); total > maxTotal {
		p.faults = append(p.faults, fmt.Sprintf("the experiment takes %v, at most %v", total, maxTotal))
	}
}
