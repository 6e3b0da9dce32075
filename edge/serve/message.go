package serve

import (
	"bytes"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	// Target is the raw request target, path and query.
	Target string
	Path   string
	Query  url.Values
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is the time of the request's first byte.
	Arrived time.Time
}

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NoBody is set for responses that have no body by definition; ContentLength is then
	// the value of that field, "" for none.
	NoBody        bool
	ContentLength string
	// AwaitedUntil is the caller's deadline, if it has stated one: until then it may read the response late.
	AwaitedUntil time.Time
}

// hopByHop are the response fields that are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Trailer": true, "Upgrade": true, "Proxy-Connection": true, "Te": true,
}

// encode writes the status line and header fields.
func (a *Response) encode(b *bytes.Buffer, last bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(a.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(a.Status))
	b.WriteString("\r\n")
	connectionNamed := connectionFields(a.Header)
	for name, values := range a.Header {
		if hopByHop[name] || connectionNamed[name] {
			continue
		}
		for _, value := range values {
			writeField(b, name, value)
		}
	}
	length := a.ContentLength
	if !a.NoBody {
		length = strconv.Itoa(len(a.Body))
	}
	if length != "" {
		writeField(b, "Content-Length", length)
	}
	if last {
		writeField(b, "Connection", "close")
	}
	b.WriteString("\r\n")
}

// connectionFields returns the fields that the Connection field names.
func connectionFields(h http.Header) map[string]bool {
	if len(h["Connection"]) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// PlainText returns a response with a text body.
func PlainText(status int, text string) *Response {
	a := &Response{Status: status, Header: make(http.Header, 2)}
	if text != "" {
		a.Header["Content-Type"] = []string{"text/plain; charset=utf-8"}
		a.Body = []byte(text)
	}
	return a
}

// JSON returns a response with a JSON body.
func JSON(status int, body []byte) *Response {
	return &Response{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}
