package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// attributionWindow is the time after an increase for which slowness is
// attributed to the increase.
const attributionWindow = 3 * stepInterval

// recordCellMove accounts for a recent move in the steps, backoffs and failures
// of its cell.
func (s *solver) recordCellMove(m *Move, histories map[cellKey]*failureHistory) {
	service := s.serviceIndex(m.Service)
	if service < 0 {
		return
	}
	place, ok := s.placeIndex[m.Place]
	if !ok {
		return
	}
	c := &s.cells[service][place]
	s.recordIncrease(c, m, service)
	c.recordBackoff(m)
	if m.Cause == KindFailure && m.Delta < 0 || m.Delta > 0 {
		addFailureMove(histories, cellKey{m.Service, m.Place}, m)
	}
}

func (s *solver) recordIncrease(c *cell, m *Move, service int) {
	if m.Age > attributionWindow {
		return
	}
	rps := s.demandOf(service, m) * float64(m.Delta) / plan.Whole
	c.recentIncrease += rps
	if rps > 0 && m.Age < stepInterval {
		c.stepIncrease += rps
	}
}

// recordBackoff counts recent backoffs. Moves that are less than the attribution
// window apart belong to the same backoff.
func (c *cell) recordBackoff(m *Move) {
	if m.Cause != KindSlow || m.Delta >= 0 || m.Age > backoffRetention {
		return
	}
	if c.backoffCount == 0 || c.lastBackoff-m.Age >= attributionWindow || m.Age-c.lastBackoff >= attributionWindow {
		c.backoffCount++
	}
	if c.backoffCount == 1 || m.Age < c.lastBackoff {
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

// setBackoffs makes cells that are far slower than when warm shed part of their
// recent increase, at most once per attribution window. Without that pause, a
// place would be emptied before the measurements show the effect.
func (s *solver) setBackoffs() {
	for i := range s.cells {
		for p := range s.cells[i] {
			c := &s.cells[i][p]
			if c.slowness() >= slowBackoffRatio && c.recentIncrease > 0 && !c.inBackoff() {
				c.backoff = c.recentIncrease * backoffShare
			}
		}
	}
}

// failureHistory holds the recent moves into a cell and out of it on failures. They
// arrive in any order.
type failureHistory struct {
	moves []Move
}

func addFailureMove(histories map[cellKey]*failureHistory, key cellKey, m *Move) {
	h := histories[key]
	if h == nil {
		h = &failureHistory{}
		histories[key] = h
	}
	h.moves = append(h.moves, *m)
}

// holdDown returns the remaining time for which traffic does not return, and the
// number of times it left. The time doubles with each failure after a return, so
// that a flapping place is used less and less.
func (h *failureHistory) holdDown() (time.Duration, int) {
	sortOldestFirst(h.moves)
	failures := 0
	away := false
	last := time.Duration(-1)
	for i := range h.moves {
		m := &h.moves[i]
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
	total := holdDown << min(failures-1, maxHoldDownDoublings)
	return max(total-last, 0), failures
}
