package client

import (
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// Request is one piece of work for a service.
type Request struct {
	Service model.ServiceName
	// Method and Path as in HTTP; an empty method reads as GET.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key: repeats with the same key run at most once.
	Key string
	// Deadline is the time the caller waits, 0 for Options.Timeout. The
	// context may end earlier.
	Deadline time.Duration
	// Idempotent declares that running the request twice does no harm. Only
	// then is it sent again when its answer was lost.
	Idempotent bool
}

// Answer is how a request ended. Outcome is always set, also beside an error.
type Answer struct {
	Outcome result.Outcome
	Code    result.Code
	// Status, Header and Body are the whole answer of the target when Outcome
	// is Ran, and otherwise what the entry VM said, if anything.
	Status int
	Header http.Header
	Body   []byte
	// Entry is the entry VM that was used last; "" when none was reached.
	Entry Entry
	// Attempts is how often the request was sent or tried to be sent.
	Attempts int
	// RetryAfter is when the entry VM asks to come back, 0 when it did not say.
	RetryAfter time.Duration
}

// Place returns the place that served the request, "" when not known.
func (a *Answer) Place() model.PlaceName {
	return model.PlaceName(a.Header.Get(result.HeaderPlace))
}

// Target returns the target that served the request, "" when not known.
func (a *Answer) Target() string { return a.Header.Get(result.HeaderTarget) }

// OutcomeError tells why a request did not end with a whole answer.
type OutcomeError struct {
	Outcome result.Outcome
	Code    result.Code
	// Cause is nil when the entry VM itself reported the code.
	Cause error
}

// Error implements error.
func (e *OutcomeError) Error() string {
	text := "client: " + e.Outcome.String() + ": " + result.InfoOf(e.Code).Meaning
	if e.Cause != nil {
		text += " (" + e.Cause.Error() + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }
