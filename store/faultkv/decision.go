package faultkv

import "time"

// Fault is what happens to one call.
type Fault uint8

// The faults. On a read every fault but None shows as store.ErrUnavailable.
const (
	// None passes the call on.
	None Fault = iota
	// Refuse does not apply the call and answers store.ErrUnavailable.
	Refuse
	// Drop does not apply the write and answers store.ErrUnknown.
	Drop
	// LoseAnswer applies the write and answers store.ErrUnknown.
	LoseAnswer
	// ApplyLate answers store.ErrUnknown now and sends the write, with the
	// revision it expected, after Decision.LateBy.
	ApplyLate
)

// Decision is a fault with its times.
type Decision struct {
	Fault Fault
	// DelayBefore passes before the service sees the call, DelayAfter
	// between its work and the answer.
	DelayBefore time.Duration
	DelayAfter  time.Duration
	// LateBy is for ApplyLate.
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

// Chooser decides what happens to a call. It is called from one goroutine at
// a time.
type Chooser func(Call) Decision
