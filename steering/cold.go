package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// watchTime is how long after an increase slowness is put down to it.
const watchTime = 3 * stepInterval

// chargeCell counts a move towards the steps and the hold-down of its cell.
func (s *solver) chargeCell(m *Move, episodes map[cellKey]*episode) {
	service := s.serviceIndex(m.Service)
	if service < 0 {
		return
	}
	place, ok := s.index[m.Place]
	if !ok {
		return
	}
	c := &s.cells[service][place]
	s.chargeStep(c, m, service)
	c.chargeBackoff(m)
	if m.Cause == KindFailure && m.Delta < 0 || m.Delta > 0 {
		noteEpisode(episodes, cellKey{m.Service, m.Place}, m)
	}
}

func (s *solver) chargeStep(c *cell, m *Move, service int) {
	if m.Age > watchTime {
		return
	}
	rps := s.demandOf(service, m) * float64(m.Delta) / plan.Whole
	c.raisedLately += rps
	if rps > 0 && m.Age < stepInterval {
		c.raised += rps
	}
}

// chargeBackoff counts the times the cell gave back lately. The parts of one
// time are made at once or, when the cap holds some back, within the watch time.
func (c *cell) chargeBackoff(m *Move) {
	if m.Cause != KindSlow || m.Delta >= 0 || m.Age > backoffMemory {
		return
	}
	if c.backoffs == 0 || c.lastBackoff-m.Age >= watchTime || m.Age-c.lastBackoff >= watchTime {
		c.backoffs++
	}
	if c.backoffs == 1 || m.Age < c.lastBackoff {
		c.lastBackoff = m.Age
	}
}

func (s *solver) demandOf(service int, m *Move) float64 {
	for i := range s.flows {
		f := &s.flows[i]
		if f.service == service && f.caller == m.Caller {
			return f.demand
		}
	}
	return 0
}

// setBackoffs lets cells that are far slower than when warm give back a part
// of what they were raised by lately, once in a watch time: what was given back
// shows in the measurements as late as an increase does, and a place that warms
// up would be emptied meanwhile.
func (s *solver) setBackoffs() {
	for i := range s.cells {
		for p := range s.cells[i] {
			c := &s.cells[i][p]
			if c.slowness() >= slowBackoff && c.raisedLately > 0 && !c.resting() {
				c.backoff = c.raisedLately * backoffPart
			}
		}
	}
}

// episode is one run of moves out of a failing cell; a return ends it. Moves
// come newest or oldest first, so the ages decide.
type episode struct {
	moves []Move
}

func noteEpisode(episodes map[cellKey]*episode, key cellKey, m *Move) {
	e := episodes[key]
	if e == nil {
		e = &episode{}
		episodes[key] = e
	}
	e.moves = append(e.moves, *m)
}

// holdDown returns for how long work still does not return, and how often it
// left: the time doubles with every failure that followed a return, so that a
// place that comes and goes is used less and less.
func (e *episode) holdDown() (time.Duration, int) {
	sortOldestFirst(e.moves)
	failures := 0
	away := false
	last := time.Duration(-1)
	for i := range e.moves {
		m := &e.moves[i]
		if m.Delta > 0 {
			away = false
			continue
		}
		if !away {
			failures++
		}
		away = true
		last = m.Age
	}
	if last < 0 {
		return 0, 0
	}
	hold := holdDown << min(failures-1, holdDownDoublings)
	return max(hold-last, 0), failures
}
