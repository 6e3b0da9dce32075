package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// Move is a change of one traffic share by a plan.
type Move struct {
	At      time.Time
	Service model.ServiceName
	Caller  model.RegionName
	Place   model.PlaceName
	// Delta is the change of the share in parts per million.
	Delta int32
	// Cause is the planner's reason code.
	Cause uint8
	// firstAt is the time of the earliest of the merged moves.
	firstAt time.Time
	// unpublished is true while the plan may not have been published.
	unpublished bool
}

// mergeIntervals is the number of intervals in a window. Similar moves within
// one interval are merged, which bounds the size of the record.
const mergeIntervals = 16

// Moves returns a copy of the recorded moves.
func (l *Ledger) Moves() []Move { return append([]Move(nil), l.moves...) }

// Plan returns the last plan, which may not be in the store yet.
func (l *Ledger) Plan() Plan { return l.plan }

// SetPlan adds a plan and its moves to the next write. The plan may be published
// once HasUnsavedPlan is false. Moves are kept for the retention time; window is
// the window of the account's move cap.
func (l *Ledger) SetPlan(plan Plan, moves []Move, window, retention time.Duration, now time.Time) {
	l.plan = plan
	l.planUnsaved = true
	l.dropMovesBefore(now.Add(-l.params.WithMargin(retention)))
	for _, m := range moves {
		m.At = now
		m.firstAt = now
		m.unpublished = true
		l.addMove(m, window/mergeIntervals)
	}
}

func (l *Ledger) dropMovesBefore(before time.Time) {
	kept := l.moves[:0]
	for _, m := range l.moves {
		if !m.At.Before(before) {
			kept = append(kept, m)
		}
	}
	l.moves = kept
}

// addMove merges a move into a similar recent one. The merged move has the later
// time, so that no part of it is dropped early.
func (l *Ledger) addMove(m Move, within time.Duration) {
	for i := range l.moves {
		old := &l.moves[i]
		if old.canMerge(m) && m.At.Sub(old.firstAt) < within {
			old.Delta += m.Delta
			old.At = m.At
			old.unpublished = true
			return
		}
	}
	l.moves = append(l.moves, m)
}

func (m *Move) canMerge(n Move) bool {
	return m.Service == n.Service && m.Caller == n.Caller && m.Place == n.Place &&
		m.Cause == n.Cause && (m.Delta < 0) == (n.Delta < 0)
}

// MarkPublished records that the plan was published at now. Its moves count from
// this time, not from the decision: otherwise they would leave the window early
// and the next moves could exceed the cap together with them.
func (l *Ledger) MarkPublished(now time.Time) {
	for i := range l.moves {
		m := &l.moves[i]
		if m.unpublished && !l.params.Faults.AgeMovesFromDecision {
			m.At = now
		}
		m.unpublished = false
	}
}

// HasUnsavedPlan reports whether the plan is not in the store yet.
func (l *Ledger) HasUnsavedPlan() bool { return l.planUnsaved }

func (l *Ledger) encodeMoves(now time.Time) []*peerpb.LedgerMove {
	moves := make([]*peerpb.LedgerMove, 0, len(l.moves))
	for _, m := range l.moves {
		moves = append(moves, &peerpb.LedgerMove{
			AgeMs:   m.age(now),
			Service: string(m.Service),
			Caller:  string(m.Caller),
			Place:   string(m.Place),
			Delta:   m.Delta,
			Cause:   uint32(m.Cause),
		})
	}
	return moves
}

// age returns the age in milliseconds, 0 only for a move whose plan may not have
// been published.
func (m *Move) age(now time.Time) uint32 {
	if m.unpublished {
		return 0
	}
	return uint32(max(now.Sub(m.At).Milliseconds(), 1))
}

// loadMoves restores the moves of the previous decider. The time since the
// record was written is unknown, so a move counts as only as old as it was then,
// less the clock margin. Moves of a plan that was stored but not published count
// from when this decider publishes it.
func (l *Ledger) loadMoves(stored []*peerpb.LedgerMove, now time.Time) {
	if l.params.Faults.DropMovesOnTakeover {
		return
	}
	for _, m := range stored {
		age := time.Duration(float64(m.AgeMs)*(1-l.params.ClockMargin)) * time.Millisecond
		l.moves = append(l.moves, Move{
			At:          now.Add(-age),
			firstAt:     now.Add(-age),
			unpublished: m.AgeMs == 0 && !l.params.Faults.AgeMovesFromDecision,
			Service:     model.ServiceName(m.Service),
			Caller:      model.RegionName(m.Caller),
			Place:       model.PlaceName(m.Place),
			Delta:       m.Delta,
			Cause:       uint8(m.Cause),
		})
	}
}
