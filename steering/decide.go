package steering

// Decide returns the next plan of an account. It starts from the previous
// plan and exchanges small parts of a flow between two places as long as that
// pays, so that what stays put costs nothing and the moves are as few as the
// gains demand. Every exchange is checked against all capacities, the move cap
// and the steps of cold places at the moment it is made; so no sequence of
// them can pass one.
//
// Work that must leave a place goes first, and may use the whole cap. Moves
// for gain follow, only when nothing that must leave is held back.
func Decide(in Input) Decision {
	s := newSolver(&in)
	s.place()
	s.exchangeForced()
	if !s.heldBack() {
		s.exchangeForGain()
	}
	return s.decision()
}
