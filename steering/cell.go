package steering

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// cell is one service in one place.
type cell struct {
	// state is nil when nothing was ever measured.
	state *PlaceState
	// configured is the capacity by the configuration, permitted that of the
	// targets that take work, usable that of those relied on, requests/s.
	configured, permitted, usable float64
	load                          float64
	// worse tells that more requests fail than in other places.
	worse bool
	// latencyMS is the service time that the costs use.
	latencyMS float64
	// raised is what the cell was raised by within the step interval, and
	// raisedLately what of it may prove too much, requests/s.
	raised, raisedLately float64
	// backoff is what a slow cell still has to give back, requests/s.
	backoff float64
	// backoffs counts the times it gave back lately; lastBackoff is the age of the
	// newest, 0 without one.
	backoffs    int
	lastBackoff time.Duration
	// holdDown is the time for which work does not return, failures the number
	// of times it left because of a failure.
	holdDown time.Duration
	failures int
}

// cellKey names a cell in the input.
type cellKey struct {
	service model.ServiceName
	place   model.PlaceName
}

func (s *solver) addCells() {
	states := make(map[cellKey]*PlaceState, len(s.in.Places))
	for i := range s.in.Places {
		state := &s.in.Places[i]
		states[cellKey{state.Service, state.Place}] = state
	}
	s.cells = make([][]cell, len(s.account.Services))
	all := make([]cell, len(s.account.Services)*len(s.places))
	for i := range s.account.Services {
		service := &s.account.Services[i]
		row := all[i*len(s.places) : (i+1)*len(s.places)]
		for _, c := range service.Capacity {
			if p, ok := s.index[c.Place]; ok {
				row[p].configured = c.RPS
			}
		}
		for p := range row {
			row[p].state = states[cellKey{service.Name, s.places[p].name}]
		}
		compareFailures(row)
		for p := range row {
			row[p].setCapacity(s.places[p].drain.ended)
		}
		setLatencies(row)
		s.cells[i] = row
	}
}

// setCapacity scales the capacity by the targets. A cell whose requests fail,
// or whose targets are gone, has none; one nobody measured keeps what is
// configured.
func (c *cell) setCapacity(ended bool) {
	if ended || c.broken() {
		return
	}
	c.permitted = c.configured * c.partOf(0)
	c.usable = c.permitted
	if c.state != nil {
		c.usable = c.configured * c.partOf(c.state.Unstable)
	}
}

// partOf returns the part of the targets that take work, without some.
func (c *cell) partOf(without int) float64 {
	if c.state != nil && c.state.NoTargets {
		return 0
	}
	if c.state == nil || c.state.Known <= 0 {
		return 1
	}
	return min(1, float64(max(c.state.Usable-without, 0))/float64(c.state.Known))
}

// failed reports a cell that all work must leave. An old state counts as well:
// a place last seen failing is not taken for healthy because reports stopped.
func (c *cell) failed() bool {
	return c.broken() || c.state != nil && c.partOf(c.state.Unstable) == 0
}

// broken reports a cell most of whose requests fail, whatever its targets say.
func (c *cell) broken() bool {
	return c.worse && c.state.FailureShare >= failedShare
}

// poor reports a cell that work leaves, though it still serves what is sent.
func (c *cell) poor() bool {
	return c.worse && c.state.FailureShare >= poorShare
}

// failing reports a cell that takes no more work. Other places do not matter:
// when all fail, because all have just taken work over, none is raised.
func (c *cell) failing() bool {
	return c.measured() && c.state.FailureShare >= failingShare
}

// failure returns the part of the cell that fails, 0 to 1.
func (c *cell) failure() float64 {
	if c.state == nil {
		return 0
	}
	return max(1-c.partOf(c.state.Unstable), c.state.FailureShare)
}

func (c *cell) measured() bool {
	return c.state != nil && c.state.SentRPS >= leastSentRPS
}

func (c *cell) stale() bool {
	return c.state != nil && c.state.Age >= FreezeAge
}

// slowness returns P99 relative to its warm value, 0 when one is unknown.
func (c *cell) slowness() float64 {
	if !c.measured() || c.state.P99 <= 0 || c.state.WarmP99 <= 0 {
		return 0
	}
	return float64(c.state.P99) / float64(c.state.WarmP99)
}

// setLatencies gives each cell its median service time, and the middle of
// the others' to one that has none. A value far off is brought near the
// middle: one wrong report must not decide alone.
func setLatencies(row []cell) {
	var known []float64
	for i := range row {
		if row[i].measured() && row[i].state.P50 > 0 {
			known = append(known, milliseconds(row[i].state.P50))
		}
	}
	if len(known) == 0 {
		return
	}
	sort.Float64s(known)
	middle := known[len(known)/2]
	for i := range row {
		row[i].latencyMS = middle
		if row[i].measured() && row[i].state.P50 > 0 {
			row[i].latencyMS = min(max(milliseconds(row[i].state.P50), middle/mostLatencyFactor), middle*mostLatencyFactor)
		}
	}
}
