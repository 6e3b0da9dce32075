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

// excludedHeaders holds hop-by-hop fields and fields that this package writes.
var excludedHeaders = map[string]bool{
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

var headerBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeRequestHeader writes the request line and the header section.
func writeRequestHeader(b *bytes.Buffer, r *Request, exchangeID uint64, timeout time.Duration) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\n")
	writeField(b, "Host", r.Host)
	if r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		writeNumber(b, "Content-Length", r.Length)
	}
	if r.Dialect != nil {
		writeNumber(b, r.Dialect.DeadlineField, max(1, timeout.Milliseconds()))
		writeField(b, r.Dialect.IDField, sanitizeValue(r.Dialect.ID))
	} else {
		writeNumber(b, result.HeaderDeadline, max(1, timeout.Milliseconds()))
		b.WriteString(result.HeaderExchange + ": ")
		b.Write(appendExchangeID(b.AvailableBuffer(), exchangeID))
		b.WriteString("\r\n")
	}
	writeForwardedFields(b, r)
	b.WriteString("\r\n")
}

// writeForwardedFields writes the end-to-end fields, in no particular order.
// Names that are not tokens are dropped and line breaks in values are replaced,
// to prevent request smuggling.
func writeForwardedFields(b *bytes.Buffer, r *Request) {
	excluded := excludedFields(r.Header)
	for name, values := range r.Header {
		if excluded[name] || !isToken(name) || r.Dialect.ownsField(name) {
			continue
		}
		for _, value := range values {
			writeField(b, name, sanitizeValue(value))
		}
	}
}

// ownsField reports whether the dialect sets the field.
func (d *Dialect) ownsField(name string) bool {
	return d != nil && (name == d.DeadlineField || name == d.IDField)
}

// lineBreakReplacer replaces line breaks by spaces.
var lineBreakReplacer = strings.NewReplacer("\n", " ", "\r", " ")

func sanitizeValue(value string) string {
	if strings.ContainsAny(value, "\r\n") {
		value = lineBreakReplacer.Replace(value)
	}
	return textproto.TrimString(value)
}

// isToken reports whether a field name is valid in HTTP.
func isToken(name string) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// tokenBytes marks the bytes allowed in a token by RFC 9110, section 5.6.2.
var tokenBytes = func() (allowed [256]bool) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for i := range len(token) {
		allowed[token[i]] = true
	}
	return allowed
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

// appendExchangeID appends an exchange ID in its wire format.
func appendExchangeID(to []byte, exchangeID uint64) []byte {
	return strconv.AppendUint(to, exchangeID, 16)
}

// excludedFields returns the fields not to forward: the fixed set and those
// listed in the Connection field.
func excludedFields(h http.Header) map[string]bool {
	connection := h["Connection"]
	if len(connection) == 0 {
		return excludedHeaders
	}
	all := make(map[string]bool, len(excludedHeaders)+len(connection))
	for name := range excludedHeaders {
		all[name] = true
	}
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			all[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return all
}

// CopyHeader copies the end-to-end fields of a response header.
func CopyHeader(to, from http.Header) {
	excluded := excludedFields(from)
	for name, values := range from {
		if !excluded[name] {
			to[name] = values
		}
	}
}
