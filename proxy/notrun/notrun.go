// Package notrun decides whether a request certainly did not run. It is the only place that does: whoever sends a request
// that may run once a second time, or tells a caller that it did not run, asks it.
//
// Evidence is positive: nothing was written, or an answer that names the exchange states it. Whatever is missing,
// unknown or malformed means that the request may have run.
package notrun

import "net/http"

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
	// Stated: an answer that names the exchange states it in the field for it.
	Stated
	// Misdirected: an answer that names the exchange is of another target than the one that the request is for.
	Misdirected
)

// Certain reports whether the request certainly did not run.
func (e Evidence) Certain() bool { return e != None }

// String returns the word used in logs.
func (e Evidence) String() string {
	return [...]string{"none", "not-sent", "nothing-written", "stated", "misdirected"}[e]
}

// Unanswered returns the evidence of an exchange that ended without an answer after bytes of the request were written.
func Unanswered(written int64) Evidence {
	if written == 0 {
		return NothingWritten
	}
	return None
}

// Answer is what counts of a complete answer.
type Answer struct {
	// Named is set if the answer names the exchange, and no other one.
	Named bool
	// Status is the HTTP status.
	Status int
	// States is set if the answer has the field in which its sender states that the request did not run.
	States bool
}

// Answered returns the evidence of an exchange that ended with an answer. A success states that the request ran, whatever
// its fields say.
func Answered(a Answer) Evidence {
	switch {
	case !a.Named || a.Status < http.StatusBadRequest:
		return None
	case a.States:
		return Stated
	case a.Status == http.StatusMisdirectedRequest:
		return Misdirected
	}
	return None
}

// Request sums up the attempts at a request. The zero value is one that was not sent.
type Request struct{ mayHaveRun bool }

// Add adds an attempt by its evidence.
func (r *Request) Add(e Evidence) { r.mayHaveRun = r.mayHaveRun || !e.Certain() }

// MayHaveRun reports whether one of the attempts may have run.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// IsPromise reports whether a status tells callers that a request did not run and never will.
func IsPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
