package forward

import "github.com/yuccaroute/yuccaroute/api/result"

// Error reports an exchange without a complete response. The outcome of Code
// states whether the request may have run.
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// NotRun reports whether the request certainly did not run.
func (e *Error) NotRun() bool {
	return result.InfoOf(e.Code).Outcome == result.NotRun
}
