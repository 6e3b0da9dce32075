package modelcheck

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// wanderer is a Planner that wants to move all traffic to and fro without end
// and is held only by the cap. It keeps the cap over the moves it is told of.
type wanderer struct{}

func (wanderer) Plan(s decider.PlannerInput) decider.PlannerOutput {
	var planned decider.PlannerOutput
	for _, r := range s.Account.Regions {
		planned.Flows = append(planned.Flows, plan.Flow{
			Service: service,
			Caller:  r.Name,
			Shares:  []plan.Share{{Place: "east-a", PPM: plan.Whole / 2}, {Place: "west-a", PPM: plan.Whole / 2}},
		})
	}
	if s.Previous == nil {
		return planned
	}
	for i := range planned.Flows {
		f := &planned.Flows[i]
		if old := s.Previous.Flow(f.Service, f.Caller); old != nil {
			f.Shares = append([]plan.Share(nil), old.Shares...)
		}
		wander(f, budget(s, f), s.Now, &planned)
	}
	return planned
}

// budget is what the cap leaves of the window, its length stretched by the
// margin for clock rates.
func budget(s decider.PlannerInput, f *plan.Flow) uint32 {
	window := ledger.DefaultParams().Wait(s.Account.Moves.Window)
	left := int64(s.Account.Moves.Share * plan.Whole)
	for _, m := range s.Moves {
		if m.Caller == f.Caller && m.Delta > 0 && s.Now.Sub(m.At) <= window {
			left -= int64(m.Delta)
		}
	}
	return uint32(max(left, 0))
}

const period = 2 * time.Minute

// wander moves towards one place and then the other.
func wander(f *plan.Flow, budget uint32, now time.Time, planned *decider.PlannerOutput) {
	to, from := 0, 1
	if now.UnixNano()/int64(period)%2 == 0 {
		to, from = 1, 0
	}
	step := min(budget, f.Shares[from].PPM)
	if step == 0 {
		return
	}
	f.Shares[from].PPM -= step
	f.Shares[to].PPM += step
	planned.Moves = append(planned.Moves,
		ledger.Move{Service: f.Service, Caller: f.Caller, Place: f.Shares[to].Place, Delta: int32(step)},
		ledger.Move{Service: f.Service, Caller: f.Caller, Place: f.Shares[from].Place, Delta: -int32(step)})
}
