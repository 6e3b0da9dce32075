package steering

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// cell is the state of one service in one place.
type cell struct {
	// state is nil when nothing was measured.
	state *PlaceState
	// configuredCapacity is the capacity from the configuration. availableCapacity
	// is the part provided by usable targets, stableCapacity the part provided by
	// usable targets that are not unstable. All are in requests/s.
	configuredCapacity, availableCapacity, stableCapacity float64
	load                                                  float64
	// outlier is set when the failure share far exceeds that of other places.
	outlier bool
	// latencyMS is the service time used in the costs.
	latencyMS float64
	// stepIncrease is the load added within the step interval, recentIncrease the
	// net load added within the attribution window, in requests/s.
	stepIncrease, recentIncrease float64
	// backoff is the load that a slow cell still has to shed, requests/s.
	backoff float64
	// backoffCount is the number of recent backoffs, lastBackoff the age of the
	// newest one, or 0 without any.
	backoffCount int
	lastBackoff  time.Duration
	// holdDown is the remaining time for which traffic does not return, failureCount
	// the number of times traffic left because of a failure.
	holdDown     time.Duration
	failureCount int
}

// cellKey identifies a cell in the input.
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
			if p, ok := s.placeIndex[c.Place]; ok {
				row[p].configuredCapacity = c.RPS
			}
		}
		for p := range row {
			row[p].state = states[cellKey{service.Name, s.places[p].name}]
		}
		detectOutliers(row)
		for p := range row {
			row[p].setCapacity(s.places[p].drain.ended)
		}
		setLatencies(row)
		s.cells[i] = row
	}
}

// setCapacity scales the configured capacity by the share of usable targets. A
// cell that fails or whose drain has ended has no capacity; an unmeasured cell
// keeps its configured capacity.
func (c *cell) setCapacity(ended bool) {
	if ended || c.broken() {
		return
	}
	c.availableCapacity = c.configuredCapacity * c.targetShare(0)
	c.stableCapacity = c.availableCapacity
	if c.state != nil {
		c.stableCapacity = c.configuredCapacity * c.targetShare(c.state.Unstable)
	}
}

// targetShare returns the share of known targets that are usable, leaving out
// excluded of the usable ones.
func (c *cell) targetShare(excluded int) float64 {
	if c.state != nil && c.state.NoTargets {
		return 0
	}
	if c.state == nil || c.state.Known <= 0 {
		return 1
	}
	return min(1, float64(max(c.state.Usable-excluded, 0))/float64(c.state.Known))
}

// failed reports whether all traffic must leave the cell. The last state counts
// however old it is: a failed place is not healthy just because reports stopped.
func (c *cell) failed() bool {
	return c.broken() || c.state != nil && c.targetShare(c.state.Unstable) == 0
}

// broken reports whether most requests fail, whatever the state of the targets.
func (c *cell) broken() bool {
	return c.outlier && c.state.FailureShare >= failedShare
}

// degraded reports whether traffic should leave the cell, although it still
// serves what it gets.
func (c *cell) degraded() bool {
	return c.outlier && c.state.FailureShare >= degradedShare
}

// failing reports whether the cell takes no more traffic. It does not compare
// places: when all fail after a shift of traffic, none may be increased.
func (c *cell) failing() bool {
	return c.measured() && c.state.FailureShare >= failingShare
}

// unavailableShare returns the part of the cell that fails, 0 to 1.
func (c *cell) unavailableShare() float64 {
	if c.state == nil {
		return 0
	}
	return max(1-c.targetShare(c.state.Unstable), c.state.FailureShare)
}

func (c *cell) measured() bool {
	return c.state != nil && c.state.SentRPS >= minSentRPS
}

func (c *cell) stale() bool {
	return c.state != nil && c.state.Age >= FreezeAge
}

// slowness returns the ratio of P99 to its warm value, or 0 when one is unknown.
func (c *cell) slowness() float64 {
	if !c.measured() || c.state.P99 <= 0 || c.state.WarmP99 <= 0 {
		return 0
	}
	return float64(c.state.P99) / float64(c.state.WarmP99)
}

// setLatencies sets the service time of each cell to its median, or to the middle
// of the others when it was not measured. Outliers are clamped, so that a single
// wrong report does not attract or repel all traffic.
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
			row[i].latencyMS = min(max(milliseconds(row[i].state.P50), middle/maxLatencyFactor), middle*maxLatencyFactor)
		}
	}
}
