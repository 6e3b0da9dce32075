// Package keys records the idempotency keys of non-idempotent requests in the
// store, so that a request repeated by its caller through any entry VM runs at
// most once.
package keys

import (
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// MaxBytes is the maximum length of a key.
const MaxBytes = 128

// Key identifies one request of a client account to a service.
type Key struct {
	Account model.AccountName
	Service model.ServiceName
	// Text is the idempotency key sent by the caller.
	Text string
}

// Valid reports whether the text is a valid key: 1 to MaxBytes printable ASCII
// characters without spaces.
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

// ErrDuplicate reports that the key was already recorded.
var ErrDuplicate = errors.New("keys: key already recorded")

// ErrUnavailable reports that the key was not recorded and will not be.
var ErrUnavailable = errors.New("keys: key not recorded")

// ErrUnknown reports that the key may or may not have been recorded.
var ErrUnknown = errors.New("keys: outcome of recording unknown")
