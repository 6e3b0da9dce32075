package configcheck

import "github.com/yuccaroute/yuccaroute/config/changelog"

// Template is the object of the template's changes; accounts are 1 and up.
const Template = 0

// Told is what an operator was told of a change in the end.
type Told uint8

// The answers.
const (
	// Unknown: it may have been made.
	Unknown Told = iota
	// Accepted: it is in force at Change.Sequence.
	Accepted
	// Conflict: not made, the object is at Change.Sequence.
	Conflict
	// Refused: not made for another reason.
	Refused
)

// Change is one operator's change of one object.
type Change struct {
	Operator int
	ID       string
	Object   int
	Mark     int64
	// IfSequence is the precondition, changelog.AnySequence for none.
	IfSequence uint64
	// Began and Ended are nanoseconds of one clock. A change that was repeated
	// under its identifier lasts from the first call to the last answer.
	Began, Ended int64
	Told         Told
	// Sequence is the one made, or the current one that a conflict named.
	Sequence uint64
}

// Read is an object as an operator read it from the store, not from memory.
type Read struct {
	Operator     int
	Object       int
	Began, Ended int64
	Sequence     uint64
	Mark         int64
}

// Live is an account in force on a node.
type Live struct {
	Node string
	// Process counts the node's processes: one that was killed and started
	// again has forgotten what it had.
	Process int
	Account int
	Version changelog.Version
	Marks   Marks
}

// Marks are those of the two documents that an account in force is made of.
type Marks struct{ Template, Account int64 }

// Record is a change in the store's history.
type Record struct {
	ID       string
	Object   int
	Sequence uint64
}

// Input is all that is compared.
type Input struct {
	Changes []Change
	Reads   []Read
	// Seen are what nodes answered on the way, each process's in order.
	Seen []Live
	// Last are the answers of all nodes at the end, when all is in force.
	Last []Live
	// History is the store's, in any order.
	History []Record
}
