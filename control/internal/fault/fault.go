// Package fault lists the classic errors of a lease and grant protocol. Only
// the model check sets them, to show that it notices each; the package is
// internal to the module, so that no daemon can.
package fault

// Set tells which errors are planted. The zero value plants none.
type Set struct {
	// NoTokenCheck lets a holder apply a set of an older epoch.
	NoTokenCheck bool
	// ExpiryFromReceipt lets a holder count its surplus from receiving the
	// answer in place of from sending the request.
	ExpiryFromReceipt bool
	// NoClockMargin lets the decider take a surplus for ended without the
	// margin for clock rates.
	NoClockMargin bool
	// SurplusEndsEarly lets the decider give a surplus again after half of
	// its time to live.
	SurplusEndsEarly bool
	// ForgetMoves drops the moves made lately when a decider takes over.
	ForgetMoves bool
	// MovesCountFromDecision counts a move from when it was decided, not from
	// when its plan could first be given out.
	MovesCountFromDecision bool
	// ForgetSurplus takes every surplus for ended when a decider takes over.
	ForgetSurplus bool
	// SendBeforeWrite lets raises be sent before the ledger is written.
	SendBeforeWrite bool
	// UnknownIsFailed takes a write with a lost answer for one that did not
	// happen.
	UnknownIsFailed bool
	// NoRewrite lets a new decider begin without rewriting the ledger.
	NoRewrite bool
	// FreeSilentFloors frees the floor of a node as soon as the VM list does
	// not show it or its surplus has ended.
	FreeSilentFloors bool
	// FreeBeforeAcknowledged frees a lowered amount before the holder
	// acknowledged it.
	FreeBeforeAcknowledged bool
	// LendWithoutLowering lets a lender answer before it lowers its own floor.
	LendWithoutLowering bool
	// LoanFromReceipt lets a borrower count a loan from receiving the answer.
	LoanFromReceipt bool
	// AcknowledgeLent lets a lender acknowledge a floor lower than what it
	// has lent.
	AcknowledgeLent bool
	// KeepFloorsAfterPause lets a node use floors after a pause longer than
	// the removal time.
	KeepFloorsAfterPause bool
	// OldConfiguration lets a decider raise by a configuration older than the
	// ledger's.
	OldConfiguration bool
	// AnyListProves lets a VM list older than the one that showed a node prove
	// that it ended.
	AnyListProves bool
	// LendAcrossRegions lets a node lend to one in another region.
	LendAcrossRegions bool
	// TakeLateAnswers lets a holder take an answer however long it took.
	TakeLateAnswers bool
}
