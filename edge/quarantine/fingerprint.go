// Package quarantine finds requests that end the targets that run them, and keeps such
// requests from further targets.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint names a request by what a target sees of it, so that it is known again when it
// is repeated under another id and at another VM. It is the same on all VMs. Callers choose
// what it is made of, so it is a part of a cryptographic hash: nobody can make a request
// that is taken for another caller's.
type Fingerprint [16]byte

// Content is what a fingerprint is made of.
type Content struct {
	Method, Host string
	// Target is the request target, path and query.
	Target string
	// Account and Authorization name the caller, "" if they are not given.
	Account, Authorization string
	Body                   []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(c Content) Fingerprint {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Target, c.Account, c.Authorization} {
		// With its length, no part can be taken for the end of the one before.
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(c.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
