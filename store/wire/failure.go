package wire

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// Code names why a call was not done.
type Code string

// The codes. Every code says for sure that a write did not happen.
const (
	CodeNotFound    Code = "not_found"
	CodeConflict    Code = "conflict"
	CodeLeaseGone   Code = "lease_gone"
	CodeTooLarge    Code = "too_large"
	CodeUnavailable Code = "unavailable"
	CodeRateLimited Code = "rate_limited"
	CodeBadRequest  Code = "bad_request"
)

// Failure is the body of an answer with a status other than 200.
type Failure struct {
	Code Code `json:"code"`
	// Key and Current belong to CodeConflict.
	Key     string         `json:"key,omitempty"`
	Current store.Revision `json:"current,omitempty"`
}

var statuses = map[Code]int{
	CodeNotFound:    http.StatusNotFound,
	CodeConflict:    http.StatusConflict,
	CodeLeaseGone:   http.StatusGone,
	CodeTooLarge:    http.StatusRequestEntityTooLarge,
	CodeUnavailable: http.StatusServiceUnavailable,
	CodeRateLimited: http.StatusTooManyRequests,
	CodeBadRequest:  http.StatusBadRequest,
}

// Status returns the HTTP status that goes with the failure.
func (f Failure) Status() int {
	if status, ok := statuses[f.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// FromError returns the failure to answer with. ok is false when the outcome
// is unknown, which no answer can say: the connection must end without one.
func FromError(err error) (failure Failure, ok bool) {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return Failure{Code: CodeConflict, Key: conflict.Key, Current: conflict.Current}, true
	case errors.Is(err, store.ErrNotFound):
		return Failure{Code: CodeNotFound}, true
	case errors.Is(err, store.ErrLeaseGone):
		return Failure{Code: CodeLeaseGone}, true
	case errors.Is(err, store.ErrTooLarge):
		return Failure{Code: CodeTooLarge}, true
	case errors.Is(err, store.ErrUnavailable):
		return Failure{Code: CodeUnavailable}, true
	default:
		return Failure{}, false
	}
}

// Err returns the error that the failure stands for. ok is false for a code
// this program does not know; nothing may be concluded from it.
func (f Failure) Err() (err error, ok bool) {
	switch f.Code {
	case CodeConflict:
		return &store.ConflictError{Key: f.Key, Current: f.Current}, true
	case CodeNotFound:
		return store.ErrNotFound, true
	case CodeLeaseGone:
		return store.ErrLeaseGone, true
	case CodeTooLarge:
		return store.ErrTooLarge, true
	case CodeUnavailable, CodeRateLimited, CodeBadRequest:
		return errors.WithMessage(store.ErrUnavailable, "the service answered "+string(f.Code)), true
	default:
		return nil, false
	}
}
