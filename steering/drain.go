package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// drainState is the planned stop of a place that concerns the present.
type drainState struct {
	// shut tells that the place takes no more work, ended that its targets
	// are gone.
	shut, ended bool
	planned     bool
	schedule    model.Drain
}

// drainOf returns the first drain of a place that is not over.
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
		state.shut = !now.Before(state.schedule.Start)
		state.ended = !now.Before(state.schedule.End)
	}
	return state
}

// shutEarly shuts a place before its drain starts when the cap needs longer to
// empty it than the drain lasts.
func (s *solver) shutEarly() {
	for p := range s.places {
		d := &s.places[p].drain
		if !d.planned || d.shut {
			continue
		}
		for i := range s.flows {
			begin := d.schedule.End.Add(-s.emptyingTime(&s.flows[i], p))
			if !s.in.Now.Before(begin) {
				d.shut = true
			}
		}
	}
}

// emptyingTime is how long the cap needs for a flow to leave a place: each cap
// full of it takes a window, and a part more for other moves.
func (s *solver) emptyingTime(f *flow, place int) time.Duration {
	if f.shares[place] == 0 || s.capPPM == 0 {
		return 0
	}
	caps := (int64(f.shares[place]) + s.capPPM - 1) / s.capPPM
	return time.Duration(float64(caps) * float64(s.account.Moves.Window) * (1 + drainSlack))
}

// leftAtEnd returns the part of a flow that the cap leaves in a draining place
// at the end, and how much later it will be gone.
func (s *solver) leftAtEnd(f *flow, place int) (float64, time.Duration) {
	if s.capPPM == 0 {
		return float64(f.shares[place]) / plan.Whole, s.account.Moves.Window
	}
	remaining := max(s.places[place].drain.schedule.End.Sub(s.in.Now), 0)
	windows := int64(remaining / s.account.Moves.Window)
	share := int64(f.shares[place])
	can := max(f.budget, 0) + windows*s.capPPM
	if share <= can {
		return 0, 0
	}
	late := (share - can + s.capPPM - 1) / s.capPPM
	return float64(share-can) / plan.Whole, time.Duration(late) * s.account.Moves.Window
}
