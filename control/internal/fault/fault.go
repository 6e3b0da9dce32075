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
	// DropMovesOnTakeover drops the moves made lately when a decider takes over.
	DropMovesOnTakeover bool
	// AgeMovesFromDecision counts a move from when it was decided, not from
	// when its plan could first be given out.
	AgeMovesFromDecision bool
	// DropSurplusOnTakeover takes every surplus for ended when a decider takes over.
	DropSurplusOnTakeover bool
	// SendBeforeWrite lets raises be sent before the ledger is written.
	SendBeforeWrite bool
	// TreatUnknownAsFailed takes a write with a lost answer for one that did not
	// happen.
	TreatUnknownAsFailed bool
	// SkipRewrite lets a new decider begin without rewriting the ledger.
	SkipRewrite bool
	// FreeUnreachableFloors frees the floor of a node as soon as the VM list does
	// not show it or its surplus has ended.
	FreeUnreachableFloors bool
	// FreeBeforeAcknowledged frees a lowered amount before the holder
	// acknowledged it.
	FreeBeforeAcknowledged bool
	// LendWithoutLowering lets a lender answer before it lowers its own floor.
	LendWithoutLowering bool
	// LoanExpiryFromReceipt lets a borrower count a loan from receiving the answer.
	LoanExpiryFromReceipt bool
	// AcknowledgeLentFloors lets a lender acknowledge a floor lower than what it
	// has lent.
	AcknowledgeLentFloors bool
	// KeepFloorsAfterPause lets a node use floors after a pause longer than
	// the removal time.
	KeepFloorsAfterPause bool
	// AcceptOldConfiguration lets a decider raise by a configuration older than the
	// ledger's.
	AcceptOldConfiguration bool
	// TrustOldVMList lets a VM list older than the one that showed a node prove
	// that it ended.
	TrustOldVMList bool
	// LendAcrossRegions lets a node lend to one in another region.
	LendAcrossRegions bool
	// AcceptLateResponses lets a holder take an answer however long it took.
	AcceptLateResponses bool
}
