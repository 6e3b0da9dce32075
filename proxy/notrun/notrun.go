// Package notrun decides whether a request certainly did not run at the end of an exchange.
package notrun

// Evidence is what shows that a request did not run.
type Evidence uint8

// The kinds of evidence. The zero value means that the request may have run.
const (
	// None: the request may have run.
	None Evidence = iota
	// NotSent: no exchange began, for lack of a connection.
	NotSent
	// NothingWritten: the exchange ended before a byte of the request was written.
	NothingWritten
	// Stated: an answer states it.
	Stated
	// Misdirected: an answer is of another target than the one that the request is for.
	Misdirected
	// FieldMissing: an answer of another VM lacks a field.
	FieldMissing
	// UnknownError: the exchange with another VM ended with an error of unknown type.
	UnknownError
)

// Certain reports whether the request certainly did not run.
func (e Evidence) Certain() bool { return e != None }

// String returns the word used in logs.
func (e Evidence) String() string {
	return [...]string{"none", "not-sent", "nothing-written", "stated", "misdirected", "field-missing", "unknown-error"}[e]
}
