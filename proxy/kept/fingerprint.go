package kept

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// Hash is a collision-resistant hash.
type Hash [sha256.Size]byte

// Fingerprint detects requests that reuse a key for other content or from another
// caller.
type Fingerprint struct {
	// Work covers the method, path, query and body.
	Work Hash
	// Sender covers the caller's IP address and all header fields forwarded to the
	// target, as any of them may identify the caller or affect the response.
	Sender Hash
}

// FingerprintOf returns the fingerprint of a request from a caller's address, with
// or without a port. It retains no part of the body.
func FingerprintOf(r *forward.Request, address string) Fingerprint {
	return Fingerprint{Work: hashWork(r), Sender: hashSender(r.Header, address)}
}

func hashWork(r *forward.Request) Hash {
	h := sha256.New()
	addText(h, r.Method)
	addText(h, r.URI)
	for _, chunk := range r.Body {
		_, _ = h.Write(chunk)
	}
	return Hash(h.Sum(nil))
}

func hashSender(header http.Header, address string) Hash {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	h := sha256.New()
	addText(h, host)
	forwarded := make(http.Header, len(header))
	forward.CopyHeader(forwarded, header)
	for _, name := range slices.Sorted(maps.Keys(forwarded)) {
		addText(h, name)
		addLength(h, len(forwarded[name]))
		for _, value := range forwarded[name] {
			addText(h, value)
		}
	}
	return Hash(h.Sum(nil))
}

// addText hashes a text prefixed with its length, so that different lists of texts
// never hash the same bytes.
func addText(h hash.Hash, text string) {
	addLength(h, len(text))
	_, _ = io.WriteString(h, text)
}

func addLength(h hash.Hash, length int) {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(length))
	_, _ = h.Write(bytes[:])
}
