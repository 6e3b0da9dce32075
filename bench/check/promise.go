package check

// Promise is one thing the system promises.
type Promise uint8

// The promises, each named for its violation.
const (
	// RanTwice: non-idempotent work ran more than once.
	RanTwice Promise = iota
	// NotRunButRan: every caller's report said not run, and it ran.
	NotRunButRan
	// RanNowhere: a caller was told that it ran, and no ledger has it.
	RanNowhere
	// NeverSent: a ledger has work that no caller sent.
	NeverSent
	// ForeignAnswer: a caller got the answer to another request.
	ForeignAnswer
	// PartialAnswer: a caller got a part of an answer as if it were whole.
	PartialAnswer
	// ServiceOver: a service in a place got more than its capacity.
	ServiceOver
	// RegionOver: a region got more than its capacity.
	RegionOver
	// LinkOver: more entered a region from other regions than its link carries.
	LinkOver
	// MovedOver: more traffic moved between places than the cap permits.
	MovedOver
	// WorkAfterLeaving: a leaving target got new work after the bound.
	WorkAfterLeaving

	// PromiseCount is the number of promises.
	PromiseCount = iota
)

var promiseNames = [PromiseCount]string{
	"ran twice", "told not run but ran", "told ran but in no ledger", "ran but never sent",
	"foreign answer", "partial answer as whole", "service over capacity",
	"region over capacity", "link over capacity", "moved over cap", "work after leaving",
}

// String returns the violation's name in reports.
func (p Promise) String() string {
	if int(p) < len(promiseNames) {
		return promiseNames[p]
	}
	return "invalid"
}
