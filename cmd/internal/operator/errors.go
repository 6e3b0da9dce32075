package operator

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

// UnavailableError tells that no node answered; nothing was changed.
type UnavailableError struct {
	Nodes []string
	// Cause is what the last one ended with.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no node answered (%s): %v", strings.Join(e.Nodes, ", "), Reason(e.Cause))
}

// Unwrap gives the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError tells that a change may or may not have taken effect, or may
// still do so.
type UnknownError struct {
	Object Object
	ID     string
	Cause  error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %s of %s took effect: %v", e.ID, e.Object, e.Cause)
}

// Unwrap gives the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// BaseError tells that a change of an existing object does not say which state
// it is based on.
type BaseError struct {
	Object  Object
	Current uint64
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("%s is at sequence %d, and the file does not tell which sequence it was made from;"+
		" a change made since would be lost", e.Object, e.Current)
}

// RefusedError is a change of a file that was refused.
type RefusedError struct {
	Document *Document
	Cause    error
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Document.File + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// ExitCode returns the exit code of the program for an error of a call.
func ExitCode(err error) int {
	var unknown *UnknownError
	var identities *UnknownIdentitiesError
	var unavailable *UnavailableError
	var answer *wire.Error
	var base *BaseError
	switch {
	case err == nil:
		return program.ExitOK
	case errors.As(err, &unknown), errors.As(err, &identities):
		return program.ExitUnknown
	case errors.As(err, &unavailable):
		return program.ExitUnavailable
	case errors.As(err, &base):
		return program.ExitUsage
	case errors.As(err, &answer):
		return exitOfAnswer(answer)
	}
	return program.CodeOf(program.Exit(program.ExitFailed, err))
}

func exitOfAnswer(answer *wire.Error) int {
	switch answer.Code {
	case result.ChangeUnknown:
		return program.ExitUnknown
	case result.StoreUnavailable, result.StoreUnknown, result.Internal:
		return program.ExitUnavailable
	}
	return program.ExitFailed
}

// codeOf returns the numbered result of an answer, OK for other errors.
func codeOf(err error) result.Code {
	var answer *wire.Error
	if errors.As(err, &answer) {
		return answer.Code
	}
	return result.OK
}

// IsNotFound tells that a node answered that there is no such object.
func IsNotFound(err error) bool { return codeOf(err) == result.NotFound }

// Brief returns an error without the lists that a node's answer carries.
func Brief(err error) error {
	var answer *wire.Error
	if !errors.As(err, &answer) || len(answer.Problems) == 0 && answer.Conflict == nil {
		return err
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return errors.New(line)
}

// Reason returns why a call failed, without the request's address.
func Reason(err error) error {
	var request *url.Error
	if errors.As(err, &request) {
		return request.Err
	}
	return err
}
