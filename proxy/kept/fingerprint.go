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

// Hash is a hash that two different inputs do not share.
type Hash [sha256.Size]byte

// Fingerprint identifies a request beside its key.
type Fingerprint struct {
	// Work covers method, path, query and body.
	Work Hash
	// Sender covers the caller's IP address and all fields that the target gets:
	// what tells callers apart (Authorization, Cookie, Yucca-Token) and what an
	// answer depends on (Accept) is in fields that this system does not know.
	Sender Hash
}

// FingerprintOf returns the print of a request from a caller's address, with or
// without a port. It reads the whole body and keeps none of it.
func FingerprintOf(r *forward.Request, address string) Fingerprint {
	return Fingerprint{Work: workOf(r), Sender: senderOf(r.Header, address)}
}

func workOf(r *forward.Request) Hash {
	h := sha256.New()
	addText(h, r.Method)
	addText(h, r.URI)
	for _, piece := range r.Body {
		_, _ = h.Write(piece)
	}
	return Hash(h.Sum(nil))
}

func senderOf(header http.Header, address string) Hash {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	h := sha256.New()
	addText(h, host)
	seen := make(http.Header, len(header))
	forward.CopyHeader(seen, header)
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		addText(h, name)
		addLength(h, len(seen[name]))
		for _, value := range seen[name] {
			addText(h, value)
		}
	}
	return Hash(h.Sum(nil))
}

// addText adds a text behind its length, so that no two lists of texts give the
// same bytes.
func addText(h hash.Hash, text string) {
	addLength(h, len(text))
	_, _ = io.WriteString(h, text)
}

func addLength(h hash.Hash, length int) {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(length))
	_, _ = h.Write(bytes[:])
}
