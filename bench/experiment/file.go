// Package experiment runs the scenarios that an experiment file names:
//
//	[experiment]
//	name = lookup
//	repetitions = 3
//	seeds = 1, 2, 3
//
//	[scenario lookup-http]
//	sizes = 1000, 5000, 15000
//	workers = 64
//	warmup = 1s
//	duration = 5s
//
//	[compare]
//	p99 = 1.5
//
// Each size runs once for every seed and repetition. Section compare bounds
// the ratio later/earlier of a figure.
package experiment

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/yuccaroute/yuccaroute/bench/load"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/bench/scenario"
)

// Bounds of an experiment.
const (
	maxRepetitions = 20
	maxTotal       = 30 * time.Minute
)

// Defaults of a scenario section.
const (
	defaultWorkers  = 64
	defaultDuration = 5 * time.Second
	defaultRate     = 10_000
)

// Experiment is a checked experiment file.
type Experiment struct {
	Name        string
	Repetitions int
	Seeds       []uint64
	Parts       []Part
	Compare     []report.RatioBound
}

// Part is one scenario with its sizes.
type Part struct {
	Scenario scenario.Scenario
	Sizes    []float64
	Params   scenario.Params
}

// Parse reads the text of an experiment file. The error names all faults.
func Parse(text []byte) (*Experiment, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return nil, errors.Wrap(err, "parse experiment")
	}
	p := &parser{experiment: &Experiment{Repetitions: 1, Seeds: []uint64{1}}}
	for _, section := range file.Sections() {
		p.section(section)
	}
	p.total()
	if len(p.faults) > 0 {
		return nil, errors.Errorf("experiment: %s", strings.Join(p.faults, "; "))
	}
	return p.experiment, nil
}

// Estimate returns how long the experiment takes at least. Untimed scenarios
// count nothing.
func (e *Experiment) Estimate() time.Duration {
	var total time.Duration
	for _, part := range e.Parts {
		if part.Scenario.Untimed {
			continue
		}
		one := part.Params.Warmup + part.Params.Duration
		total += one * time.Duration(len(part.Sizes)*len(e.Seeds)*e.Repetitions)
	}
	return total
}

type parser struct {
	experiment *Experiment
	faults     []string
	// scenarios counts the sections of scenarios, those with faults included.
	scenarios int
}

func (p *parser) fault(section *ini.Section, key, text string) {
	p.faults = append(p.faults, "section ["+section.Name()+"], key "+key+": "+text)
}

func (p *parser) section(section *ini.Section) {
	name, isScenario := strings.CutPrefix(section.Name(), "scenario ")
	switch {
	case isScenario:
		p.scenario(section, strings.TrimSpace(name))
	case section.Name() == "experiment":
		p.head(section)
	case section.Name() == "compare":
		p.compare(section)
	case section.Name() != ini.DefaultSection || len(section.Keys()) > 0:
		p.faults = append(p.faults, "unknown section ["+section.Name()+"]")
	}
}

func (p *parser) head(section *ini.Section) {
	e := p.experiment
	for _, key := range section.Keys() {
		switch key.Name() {
		case "name":
			e.Name = key.String()
		case "repetitions":
			e.Repetitions = p.integer(section, key, 1, maxRepetitions)
		case "seeds":
			e.Seeds = p.seeds(section, key)
		default:
			p.fault(section, key.Name(), "unknown key")
		}
	}
}

func (p *parser) scenario(section *ini.Section, name string) {
	p.scenarios++
	found, ok := scenario.Find(name)
	if !ok {
		p.faults = append(p.faults, "unknown scenario "+strconv.Quote(name)+"; there are "+strings.Join(scenario.Names(), ", "))
		return
	}
	part := Part{Scenario: found, Params: scenario.Params{Workers: defaultWorkers, Duration: defaultDuration, Rate: defaultRate}}
	for _, key := range section.Keys() {
		switch key.Name() {
		case "sizes":
			part.Sizes = p.numbers(section, key, 1, found.MaxSize)
		case "rate":
			part.Params.Rate = p.number(section, key, key.String(), 1, load.MaxRate)
		case "workers":
			part.Params.Workers = p.integer(section, key, 1, load.MaxWorkers)
		case "warmup", "duration":
			p.time(section, key, &part)
		default:
			p.fault(section, key.Name(), "unknown key")
		}
	}
	if len(part.Sizes) == 0 {
		p.fault(section, "sizes", "at least one size is needed")
	}
	slices.SortFunc(part.Sizes, cmp.Compare[float64])
	p.experiment.Parts = append(p.experiment.Parts, part)
}

// time reads how long a scenario warms up or runs.
func (p *parser) time(section *ini.Section, key *ini.Key, part *Part) {
	switch {
	case part.Scenario.Untimed:
		p.fault(section, key.Name(), "not used: a run takes as long as its work")
	case key.Name() == "warmup":
		part.Params.Warmup = p.duration(section, key, 0)
	default:
		part.Params.Duration = p.duration(section, key, time.Millisecond)
	}
}
