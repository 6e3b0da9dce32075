package scenario

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/steering"
)

// admit reduces the streams to what the grants permit: the usable rate of a place in
// the last decision, and the configured capacities of its region and link. A failed
// place serves nothing.
func (w *world) admit(streams []stream, limits []steering.Limit, out *result) []stream {
	usable := make(map[cellName]float64)
	for _, l := range limits {
		usable[cellName{l.Service, l.Place}] = l.UsableRPS
	}
	cells, regions, links := w.sums(streams)
	var served []stream
	for _, s := range streams {
		name := cellName{s.flow.service, s.place}
		factor := min(1, ratio(usable[name], cells[name]))
		region := w.account.Region(s.region)
		factor = min(factor, ratio(region.CapacityRPS, regions[s.region]))
		if s.region != s.flow.caller {
			factor = min(factor, ratio(region.LinkInRPS, links[s.region]))
		}
		c := w.cells[name]
		if c.usable == 0 {
			factor = 0
		}
		out.refused += s.rps * (1 - factor)
		out.failed += s.rps * factor * c.failureShare
		s.rps *= factor
		c.sentRPS += s.rps
		served = append(served, s)
	}
	return served
}

func (w *world) sums(streams []stream) (cells map[cellName]float64, regions, links map[model.RegionName]float64) {
	cells = make(map[cellName]float64)
	regions = make(map[model.RegionName]float64)
	links = make(map[model.RegionName]float64)
	for _, s := range streams {
		cells[cellName{s.flow.service, s.place}] += s.rps
		regions[s.region] += s.rps
		if s.region != s.flow.caller {
			links[s.region] += s.rps
		}
	}
	return cells, regions, links
}

func ratio(limit, load float64) float64 {
	if load <= limit {
		return 1
	}
	return limit / load
}
