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

// Request is one request of a caller with its whole body.
type Request struct {
	Method string
	// Target is the request target as it came, path and query.
	Target string
	Path   string
	Query  url.Values
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is when the request's first byte was there.
	Arrived time.Time
}

// Response is what a caller gets.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NoBody tells that an answer of this kind has none; Length is then what its
	// Content-Length says, "" for none.
	NoBody        bool
	ContentLength string
}

// notPassedOn are the fields of an answer that concern one connection only.
var notPassedOn = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Trailer": true, "Upgrade": true, "Proxy-Connection": true, "Te": true,
}

// encode renders an answer.
func (a *Response) encode(b *bytes.Buffer, last bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(a.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(a.Status))
	b.WriteString("\r\n")
	named := connectionFields(a.Header)
	for name, values := range a.Header {
		if notPassedOn[name] || named[name] {
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

// connectionFields are the fields that the Connection field names.
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

// PlainText is an answer of the system's own.
func PlainText(status int, text string) *Response {
	a := &Response{Status: status, Header: make(http.Header, 2)}
	if text != "" {
		a.Header["Content-Type"] = []string{"text/plain; charset=utf-8"}
		a.Body = []byte(text)
	}
	return a
}

// JSON is an answer with a JSON body.
func JSON(status int, body []byte) *Response {
	return &Response{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}
