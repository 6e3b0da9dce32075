package forward

import (
	"context"
	"net/http"
	"time"
)

// Request is what is sent to a target. It is only read, so that the same one
// may be sent again by the caller.
type Request struct {
	Method string
	// URI is the request target as it goes on the wire, path and query.
	URI  string
	Host string
	// Header is sent without the hop-by-hop fields, Content-Length and Host.
	Header http.Header
	// Body holds the body in pieces, Length is their sum in bytes.
	Body   [][]byte
	Length int64
	// BodySource gives the body instead of Body if it may still be coming.
	BodySource BodySource
	// Deadline is when the caller gives up.
	Deadline time.Time
	// MaxResponseBytes bounds the body of the answer.
	MaxResponseBytes int64
	// Memory bounds the bytes of answers in sum; nil does not bound them.
	Memory Memory
	// Dialect replaces the fields that this package writes and reads itself; nil
	// is the project's own protocol.
	Dialect *Dialect
}

// Dialect is how targets of another protocol name the deadline and tell answers
// apart.
type Dialect struct {
	// DeadlineField gets the milliseconds that are left.
	DeadlineField string
	// IDField carries the id of the request, which targets repeat.
	IDField string
	// ID of this request; it is sent once, with the request's own fields.
	ID string
	// CloseDelimited takes an answer without a length as whole if the target
	// closes the connection after it in order, without a reset.
	CloseDelimited bool
}

// BodySource is a body that may still be coming.
type BodySource interface {
	// At returns bytes of the body from an offset on, which are only to be
	// read, and waits for the first of them. It returns an error if they do not
	// come, at once if the context has ended.
	At(ctx context.Context, offset int64) ([]byte, error)
}

// Memory is a bound on buffered bytes.
type Memory interface {
	// Take reserves bytes, or returns false at once if there are too few.
	Take(bytes int64) bool
	// Give returns reserved bytes.
	Give(bytes int64)
}
