package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// drainState is the active or next planned drain of a place.
type drainState struct {
	// closed is set when the place takes no more traffic, ended when its targets
	// have stopped.
	closed, ended bool
	planned       bool
	schedule      model.Drain
}

// drainOf returns the earliest drain of a place that is not over.
func drainOf(drains []model.Drain, place model.PlaceName, now time.Time) drainState {
	var state drainState
	for _, d := range drains {
		if d.Place != place || !now.Before(d.Until) {
			continue
		}
		if state.planned && !d.Start.Before(state.schedule.Start) {
			continue
		}
		state = drainState{planned: true, schedule: d}
	}
	if state.planned {
		state.closed = !now.Before(state.schedule.Start)
		state.ended = !now.Before(state.schedule.End)
	}
	return state
}

// closeEarly closes a place before its drain starts when the move cap needs more
// time to empty it than the drain lasts.
func (s *solver) closeEarly() {
	for p := range s.places {
		d := &s.places[p].drain
		if !d.planned || d.closed {
			continue
		}
		for i := range s.flows {
			begin := d.schedule.End.Add(-s.drainDuration(&s.flows[i], p))
			if !s.in.Now.Before(begin) {
				d.closed = true
			}
		}
	}
}

// drainDuration returns the time the move cap needs to empty a place of a flow,
// with a margin for other moves.
func (s *solver) drainDuration(f *flow, place int) time.Duration {
	if f.shares[place] == 0 || s.capPPM == 0 {
		return 0
	}
	caps := (int64(f.shares[place]) + s.capPPM - 1) / s.capPPM
	return time.Duration(float64(caps) * float64(s.account.Moves.Window) * (1 + drainMargin))
}

// remainingAtEnd returns the part of a flow that the move cap leaves in a draining
// place at the end of the drain, and how much later the place will be empty.
func (s *solver) remainingAtEnd(f *flow, place int) (float64, time.Duration) {
	if s.capPPM == 0 {
		return float64(f.shares[place]) / plan.Whole, s.account.Moves.Window
	}
	remaining := max(s.places[place].drain.schedule.End.Sub(s.in.Now), 0)
	windows := int64(remaining / s.account.Moves.Window)
	share := int64(f.shares[place])
	movable := max(f.budget, 0) + windows*s.capPPM
	if share <= movable {
		return 0, 0
	}
	late := (share - movable + s.capPPM - 1) / s.capPPM
	return float64(share-movable) / plan.Whole, time.Duration(late) * s.account.Moves.Window
}
