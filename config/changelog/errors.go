package changelog

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNotFound tells that there is no such template, account or change.
var ErrNotFound = errors.New("changelog: not found")

// ErrBusy tells that the change was not made because the head changed each
// time it was tried.
var ErrBusy = errors.New("changelog: too many changes at once, the change was not made")

// UnknownError tells that a change may have taken effect or may do so later.
// Ask by the identifier, or repeat the change under it.
//
// It does not unwrap to its cause: a caller that asks for store.ErrUnavailable
// or a ConflictError, which mean "not made", must not find them in here.
type UnknownError struct {
	ID    string
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("changelog: it is not known whether change %s took effect: %v", e.ID, e.Cause)
}

// ConflictError tells that a change was not made because the object is not at
// the sequence that the operator has seen.
type ConflictError struct {
	Kind Kind
	Name string
	// Wanted is the change's IfSequence, Current the object's sequence; both
	// are 0 for an object that does not exist.
	Wanted, Current uint64
	// Changes lists what was done to the object since, newest first.
	Changes []Record
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("changelog: %s %s is at sequence %d, not %d", e.Kind, e.Name, e.Current, e.Wanted)
	if len(e.Changes) > 0 {
		last := &e.Changes[0]
		text += fmt.Sprintf("; last changed by %s at %s (change %s)", last.Who, last.At.Format("2006-01-02 15:04:05Z07:00"), last.ID)
	}
	return text
}

// ReusedError tells that an identifier was used before for another change.
type ReusedError struct{ Earlier Record }

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("changelog: identifier %s was used for another change of %s %s", e.Earlier.ID, e.Earlier.Kind, e.Earlier.Name)
}

// TooLargeError tells that the head would pass the store's value limit.
type TooLargeError struct {
	Template string
	Bytes    int
	Limit    int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("changelog: the list of template %s would take %d bytes, at most %d are permitted; divide its accounts among templates", e.Template, e.Bytes, e.Limit)
}

// OwnedError tells that an account of that name belongs to another template.
type OwnedError struct {
	Account string
	Owner   string
}

// Error implements error.
func (e *OwnedError) Error() string {
	return fmt.Sprintf("changelog: account %s belongs to template %s", e.Account, e.Owner)
}

// WentBackError tells that the store shows an older head than was seen before,
// as after it was restored from a copy. Nothing is read from it or written to
// it until the head has been repaired.
type WentBackError struct {
	Template string
	Seen     Version
	Found    Version
}

// Error implements error.
func (e *WentBackError) Error() string {
	return fmt.Sprintf("changelog: the store shows template %s at %s, but %s was seen before", e.Template, e.Found, e.Seen)
}
