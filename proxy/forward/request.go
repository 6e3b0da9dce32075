package forward

import (
	"context"
	"net/http"
	"time"
)

// Request is a request to a target. Exchange does not modify it, so the caller
// may send it again.
type Request struct {
	Method string
	// URI is the path and query as written on the request line.
	URI  string
	Host string
	// Header is sent without hop-by-hop fields, Content-Length and Host.
	Header http.Header
	// Body holds the body in consecutive buffers, Length their total size.
	Body   [][]byte
	Length int64
	// BodySource replaces Body for a body that is still being received.
	BodySource BodySource
	// Deadline ends the exchange.
	Deadline time.Time
	// MaxResponseBytes bounds the response body.
	MaxResponseBytes int64
	// Memory bounds the total size of buffered responses; nil means no bound.
	Memory Memory
	// HeaderReceived is called with the status and header of the response before its body is read,
	// which may fail; nil is allowed. It must not keep or change the header.
	HeaderReceived func(status int, h http.Header)
	// Dialect replaces this package's own header fields; nil selects the
	// Yucca-* fields.
	Dialect *Dialect
}

// Dialect configures the header fields and framing rules of targets that do not
// use the Yucca-* fields.
type Dialect struct {
	// DeadlineField carries the remaining time in milliseconds.
	DeadlineField string
	// IDField carries the request ID, which targets echo in the response.
	IDField string
	// ID is the ID of this request. It must not be empty.
	ID string
	// AcceptUnnamed accepts an answer without an ID, but none with another one. The exchange must be the only one of
	// its connection, so that no other request has a claim to the answer.
	AcceptUnnamed bool
	// AnswersOnce ends the exchange at an answer that does not name the request, rather than to read on: the sender
	// answers each request once.
	AnswersOnce bool
	// CloseDelimited accepts a response without a length that ends with an
	// orderly close of the connection.
	CloseDelimited bool
}

// answersOnce reports whether no other answer can follow one that does not name the request.
func (r *Request) answersOnce() bool { return r.Dialect == nil || r.Dialect.AnswersOnce }

func (r *Request) acceptsUnnamed() bool { return r.Dialect != nil && r.Dialect.AcceptUnnamed }

// BodySource is a body that may still be in transfer.
type BodySource interface {
	// At returns the bytes available from an offset, which the caller must not
	// modify, and blocks until there is at least one. It returns an error if
	// none arrive, at once when the context is done.
	At(ctx context.Context, offset int64) ([]byte, error)
}

// Memory limits buffered bytes.
type Memory interface {
	// Take reserves bytes without blocking and reports whether it could.
	Take(bytes int64) bool
	// Give releases reserved bytes.
	Give(bytes int64)
}
