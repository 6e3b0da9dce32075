// Package keys records the idempotency keys of non-idempotent requests, so
// that a request a caller sends again, through whichever entry VM, is run at
// most once.
package keys

import (
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// MaxBytes is the length of the longest key.
const MaxBytes = 128

// Key names one piece of work of a caller.
type Key struct {
	Account model.AccountName
	Service model.ServiceName
	// Text is what the caller sent.
	Text string
}

// Valid reports whether a caller's key can be recorded: 1 to MaxBytes printable
// ASCII characters.
func Valid(text string) bool {
	if text == "" || len(text) > MaxBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// ErrDuplicate tells that the key was recorded before.
var ErrDuplicate = errors.New("keys: recorded before")

// ErrUnavailable tells that the key was not recorded and will not be.
var ErrUnavailable = errors.New("keys: cannot record")

// ErrUnknown tells that the key may or may not have been recorded.
var ErrUnknown = errors.New("keys: outcome unknown")
