package steering

// Decide returns the next plan of an account. It is a local search that starts
// from the previous plan and moves small parts of a flow between two places while
// that lowers the cost, so traffic only moves where it pays. Each step is checked
// against all capacities, the move cap and the step limits, so that no sequence of
// steps can exceed them.
//
// Forced moves out of a place come first and may use the whole cap. Optional moves
// follow only when no forced move is pending.
func Decide(in Input) Decision {
	s := newSolver(&in)
	s.placeNewFlows()
	s.makeForcedMoves()
	if !s.forcedMovesPending() {
		s.makeOptionalMoves()
	}
	return s.decision()
}
