// Package quarantine detects poison requests, which crash the targets that process them, and stops
// sending them to further targets.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint identifies a request by its content, so that a repetition is recognized under
// another request ID and at any VM. It is a truncated cryptographic hash: callers choose the
// content, and must not be able to produce the fingerprint of another caller's request.
type Fingerprint [16]byte

// Content is the part of a request that determines its fingerprint.
type Content struct {
	Method, Host string
	// Target is the request target: path and query.
	Target string
	// Account and Authorization identify the caller, "" if absent.
	Account, Authorization string
	Body                   []byte
}

// headerCapacity is the initial capacity in bytes for everything but the body.
const headerCapacity = 256

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(c Content) Fingerprint {
	header := make([]byte, 0, headerCapacity)
	for _, part := range [...]string{c.Method, c.Host, c.Target, c.Account, c.Authorization} {
		// The length prefix makes the boundaries between parts unambiguous.
		header = binary.BigEndian.AppendUint32(header, uint32(len(part)))
		header = append(header, part...)
	}
	body := sha256.Sum256(c.Body)
	sum := sha256.Sum256(append(header, body[:]...))
	return Fingerprint(sum[:len(Fingerprint{})])
}

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

var errInvalidFingerprint = errors.New("quarantine: invalid fingerprint")

// parseFingerprint parses the result of String.
func parseFingerprint(text string) (f Fingerprint, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(f) {
		return f, errors.Wrap(errInvalidFingerprint, text)
	}
	return Fingerprint(raw), nil
}
