// Package responsehead checks the heads of HTTP/1 responses. net/http reads heads that HTTP does not allow, and takes
// from some of them a body that is not the sender's: a field with a blank in its name frames nothing.
package responsehead

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the cause of all errors of this package.
var ErrMalformed = errors.New("malformed response head")

const (
	// lowestStatus and highestStatus bound the valid statuses. Source: RFC 9110, section 15.
	lowestStatus  = 100
	highestStatus = 599
	// majorVersion is that of HTTP/1. Source: RFC 9110, section 2.5.
	majorVersion = 1
)

// Check returns an error if a response that net/http has read over a connection of HTTP/1 has another major version,
// an invalid status, a control byte in its reason phrase or an invalid field name.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != majorVersion:
		return malformed("version", resp.Proto)
	case resp.StatusCode < lowestStatus || resp.StatusCode > highestStatus:
		return malformed("status", resp.Status)
	case !httpguts.ValidHeaderFieldValue(resp.Status):
		return malformed("reason phrase", resp.Status)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("field name", name)
		}
	}
	return nil
}

// CheckLines returns an error if the lines of a response's head have what net/http hides: a folded line, which it
// appends to the value before it, or a transfer coding in a version without one, which it ignores. Sources: RFC 9112,
// sections 5.2 and 6.1.
func CheckLines(resp *http.Response, head []byte) error {
	_, lines, _ := bytes.Cut(head, lineEnd)
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, lineEnd)
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return malformed("folded line", string(line))
		}
		name, _, _ := bytes.Cut(line, colon)
		if !resp.ProtoAtLeast(1, 1) && bytes.EqualFold(name, transferEncoding) {
			return malformed("transfer coding", string(line))
		}
	}
	return nil
}

var (
	lineEnd          = []byte("\n")
	colon            = []byte(":")
	transferEncoding = []byte("Transfer-Encoding")
)

// maxQuoted is how many bytes of what is malformed an error quotes.
const maxQuoted = 64

func malformed(what, text string) error {
	return errors.WithMessagef(ErrMalformed, "%s %q", what, strings.TrimSpace(text[:min(len(text), maxQuoted)]))
}
