package faultkv

import "time"

// Fault is a kind of failure of a call.
type Fault uint8

// The faults. On a read, every fault except None returns store.ErrUnavailable.
const (
	// None applies the call and returns its result.
	None Fault = iota
	// Refuse does not apply the call and returns store.ErrUnavailable.
	Refuse
	// Drop does not apply the write and returns store.ErrUnknown.
	Drop
	// LoseAnswer applies the write and returns store.ErrUnknown.
	LoseAnswer
	// ApplyLate returns store.ErrUnknown at once and applies the write, with its
	// original expected revision, after Decision.LateBy.
	ApplyLate
)

// Decision is the fault of one call and its delays.
type Decision struct {
	Fault Fault
	// DelayBefore is the delay before the call reaches the service, DelayAfter
	// that before its response is returned.
	DelayBefore time.Duration
	DelayAfter  time.Duration
	// LateBy is the delay of a write with the fault ApplyLate.
	LateBy time.Duration
}

// Call describes a call to a Chooser.
type Call struct {
	Kind Kind
	// Key is the key or prefix, empty for lease calls.
	Key string
	// Number counts the calls of this kind from 1.
	Number uint64
}

// Chooser decides which fault and delays a call gets. It is called by one
// goroutine at a time.
type Chooser func(Call) Decision
