package forward

import "github.com/yuccaroute/yuccaroute/api/result"

// Error is an exchange without a whole answer. Code tells by its outcome
// whether the request may have run.
type Error struct {
	Code  result.Code
	cause error
}

func newError(code result.Code, cause error) *Error {
	return &Error{Code: code, cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return "forward: " + e.Code.String()
	}
	return "forward: " + e.Code.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// NotRun reports whether it is certain that the request did not run.
func (e *Error) NotRun() bool {
	return result.InfoOf(e.Code).Outcome == result.NotRun
}
