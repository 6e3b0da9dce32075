// Package program holds what the programs share: exit codes, the version and
// stopping on signals.
package program

import "github.com/pkg/errors"

// The exit codes of all programs; README lists them.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitFailed: the program ran and its result is negative: a violated
	// promise, a refused change, a bound exceeded.
	ExitFailed = 1
	// ExitUsage: wrong arguments or settings; nothing was done.
	ExitUsage = 2
	// ExitUnavailable: a node, the store or the VM list did not answer.
	ExitUnavailable = 3
	// ExitUnknown: it is not known whether a change took effect.
	ExitUnknown = 4
)

// ExitError carries the exit code of a command with its error.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Exit marks err with an exit code.
func Exit(code int, err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: code, Err: err}
}

// CodeOf returns the exit code for a command's error; unmarked errors are
// wrong usage, since cobra returns those for unknown flags and arguments.
func CodeOf(err error) int {
	if err == nil {
		return ExitOK
	}
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return ExitUsage
}
