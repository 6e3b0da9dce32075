package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// Move is one change of one share that a plan made.
type Move struct {
	At      time.Time
	Service model.ServiceName
	Caller  model.RegionName
	Place   model.PlaceName
	// Delta is the change of the share, parts per million.
	Delta int32
	// Cause is the planner's number for why.
	Cause uint8
	// firstAt is when the firstAt of several merged moves was made.
	firstAt time.Time
	// unpublished tells that the plan may not have been given out yet.
	unpublished bool
}

// mergeIntervals is into how many parts a window is divided: like moves within
// one part are kept as one, which bounds the size of the record.
const mergeIntervals = 16

// Moves returns the moves kept, oldest first.
func (l *Ledger) Moves() []Move { return append([]Move(nil), l.moves...) }

// Plan returns the last plan committed or proposed.
func (l *Ledger) Plan() Plan { return l.plan }

// SetPlan puts a plan and the moves it makes into the next write. The plan may
// be given out when HasUnsavedPlan is false. Moves are kept for the memory; a window
// is that of the account's move cap.
func (l *Ledger) SetPlan(plan Plan, moves []Move, window, memory time.Duration, now time.Time) {
	l.plan = plan
	l.planUnsaved = true
	l.dropMovesBefore(now.Add(-l.params.WithMargin(memory)))
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

// addMove merges a move into a like one that is recent. The merged move counts
// as made at the later time, so that none is forgotten early.
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

// MarkPublished notes that the plan has been given out by now. Its moves count
// from here, however long the write and the way to the nodes took: counted
// from the decision they would leave the window early, and the next moves
// would meet them in it.
func (l *Ledger) MarkPublished(now time.Time) {
	for i := range l.moves {
		m := &l.moves[i]
		if m.unpublished && !l.params.Faults.AgeMovesFromDecision {
			m.At = now
		}
		m.unpublished = false
	}
}

// HasUnsavedPlan reports whether a plan is not in the store yet.
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

// age is 0 only for a move whose plan may not have been given out.
func (m *Move) age(now time.Time) uint32 {
	if m.unpublished {
		return 0
	}
	return uint32(max(now.Sub(m.At).Milliseconds(), 1))
}

// loadMoves takes over what the last decider moved. A move is at least as old
// as it was when the record was written; how long ago that was is not known,
// so it counts as no older. The age is shortened by the margin for clock
// rates. A plan that the last decider wrote and did not give out is given out
// by this one, and its moves count from then.
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
