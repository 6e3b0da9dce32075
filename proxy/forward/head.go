package forward

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// hopByHop holds the fields that concern one connection only, and those that
// this package writes itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
	"Host":                true,
	result.HeaderDeadline: true,
	result.HeaderExchange: true,
}

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeHead renders the request line and the fields.
func writeHead(b *bytes.Buffer, r *Request, exchange uint64, left time.Duration) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\n")
	writeField(b, "Host", r.Host)
	if r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		writeNumber(b, "Content-Length", r.Length)
	}
	if r.Dialect != nil {
		writeNumber(b, r.Dialect.DeadlineField, max(1, left.Milliseconds()))
		writeField(b, r.Dialect.IDField, oneLine(r.Dialect.ID))
	} else {
		writeNumber(b, result.HeaderDeadline, max(1, left.Milliseconds()))
		b.WriteString(result.HeaderExchange + ": ")
		b.Write(appendExchange(b.AvailableBuffer(), exchange))
		b.WriteString("\r\n")
	}
	writeHeader(b, r)
	b.WriteString("\r\n")
}

// writeHeader renders the fields that concern the target, in any order:
// net/http sorts them by name, which no target needs.
//
// Guard against a caller that hides a second request, or a field, in a name or
// value: it shows as an order that no entry VM admitted. No line of a field can
// end within it here, as names are tokens and line ends in values are blanks.
func writeHeader(b *bytes.Buffer, r *Request) {
	skip := excluded(r.Header)
	for name, values := range r.Header {
		if skip[name] || !isToken(name) || r.Dialect.writes(name) {
			continue
		}
		for _, value := range values {
			writeField(b, name, oneLine(value))
		}
	}
}

// writes reports whether the field is written apart from the request's own.
func (d *Dialect) writes(name string) bool {
	return d != nil && (name == d.DeadlineField || name == d.IDField)
}

// lineEnds turns what could end a line into blanks.
var lineEnds = strings.NewReplacer("\n", " ", "\r", " ")

func oneLine(value string) string {
	if strings.ContainsAny(value, "\r\n") {
		value = lineEnds.Replace(value)
	}
	return textproto.TrimString(value)
}

// isToken reports whether a name is one that HTTP permits.
func isToken(name string) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// tokenBytes marks the bytes of a token by RFC 9110, section 5.6.2.
var tokenBytes = func() (marks [256]bool) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for i := range len(token) {
		marks[token[i]] = true
	}
	return marks
}()

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

func writeNumber(b *bytes.Buffer, name string, value int64) {
	b.WriteString(name)
	b.WriteString(": ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), value, 10))
	b.WriteString("\r\n")
}

// appendExchange appends the number of an exchange as it goes on the wire.
func appendExchange(to []byte, exchange uint64) []byte {
	return strconv.AppendUint(to, exchange, 16)
}

// excluded returns the fields not to forward: the fixed ones and those that
// the sender named in its Connection field.
func excluded(h http.Header) map[string]bool {
	named := h["Connection"]
	if len(named) == 0 {
		return hopByHop
	}
	all := make(map[string]bool, len(hopByHop)+len(named))
	for name := range hopByHop {
		all[name] = true
	}
	for _, line := range named {
		for name := range strings.SplitSeq(line, ",") {
			all[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return all
}

// CopyHeader adds the fields of a target's answer that concern the caller.
func CopyHeader(to, from http.Header) {
	skip := excluded(from)
	for name, values := range from {
		if !skip[name] {
			to[name] = values
		}
	}
}
