package forward

import (
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/notrun"
)

// Error reports an exchange without a complete response.
type Error struct {
	Code     result.Code
	cause    error
	evidence notrun.Evidence
}

// newError returns the error of an exchange after bytes of the request were written.
func newError(code result.Code, cause error) *Error {
	return &Error{Code: code, cause: cause}
}

// newUnsent returns the error of an exchange before a byte was written.
func newUnsent(code result.Code, cause error) *Error {
	return &Error{Code: code, cause: cause, evidence: notrun.Unanswered(0)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return "forward: " + e.Code.String()
	}
	return "forward: " + e.Code.String() + ": " + e.cause.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// Evidence returns what shows that the request did not run.
func (e *Error) Evidence() notrun.Evidence { return e.evidence }

// NotRun reports whether the request certainly did not run.
func (e *Error) NotRun() bool { return e.evidence.Certain() }
