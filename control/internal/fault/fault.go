// Package fault defines errors of the grant protocol that tests can inject. Only the
// model check sets them, to verify that it detects each. The package is internal to
// the module, so that no daemon can.
package fault

// Set selects the injected errors. The zero value selects none.
type Set struct {
	// NoTokenCheck lets a holder apply a set of an older epoch.
	NoTokenCheck bool
	// ExpiryFromReceipt lets a holder count the surplus TTL from the response instead
	// of from the request.
	ExpiryFromReceipt bool
	// NoClockMargin lets the decider free a surplus without the clock margin.
	NoClockMargin bool
	// SurplusEndsEarly lets the decider free a surplus after half of its TTL.
	SurplusEndsEarly bool
	// DropMovesOnTakeover drops the recorded moves when a decider takes over.
	DropMovesOnTakeover bool
	// AgeMovesFromDecision counts a move from its decision, not from the publication
	// of its plan.
	AgeMovesFromDecision bool
	// DropSurplusOnTakeover treats every surplus as expired when a decider takes over.
	DropSurplusOnTakeover bool
	// SendBeforeWrite lets raises be issued before the ledger is written.
	SendBeforeWrite bool
	// TreatUnknownAsFailed treats a write with a lost response as failed.
	TreatUnknownAsFailed bool
	// SkipRewrite lets a new decider start without rewriting the ledger.
	SkipRewrite bool
	// FreeUnreachableFloors frees the floor of a node as soon as its surplus has
	// expired.
	FreeUnreachableFloors bool
	// FreeBeforeAcknowledged frees a lowered amount before the holder acknowledges it.
	FreeBeforeAcknowledged bool
	// LendWithoutLowering lets a lender answer before it lowers its own floor.
	LendWithoutLowering bool
	// LoanExpiryFromReceipt lets a borrower count the loan TTL from the response.
	LoanExpiryFromReceipt bool
	// AcknowledgeLentFloors lets a lender acknowledge a floor lower than the amount it
	// has lent.
	AcknowledgeLentFloors bool
	// KeepFloorsAfterPause lets a node use its floors after a pause longer than the
	// removal time.
	KeepFloorsAfterPause bool
	// AcceptOldConfiguration lets a decider raise grants by an older configuration than
	// the ledger's.
	AcceptOldConfiguration bool
	// TrustOldVMList lets a VM list older than the one that contained a node count as
	// evidence that it ended.
	TrustOldVMList bool
	// LendAcrossRegions lets a node lend to a node in another region.
	LendAcrossRegions bool
	// AcceptLateResponses lets a holder accept a response after its timeout.
	AcceptLateResponses bool
}
