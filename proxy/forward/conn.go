package forward

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

const (
	readBufferBytes = 8 << 10
	maxHeaderBytes  = 64 << 10
	// longBodyBytes is what the system's buffers surely take at once.
	longBodyBytes = 32 << 10
)

// exchanges numbers the exchanges of the process.
var exchanges atomic.Uint64

// longAgo is a deadline that has passed; it ends reads and writes under way.
var longAgo = time.Unix(1, 0)

// Conn is one connection to a target. One goroutine at a time may use it.
type Conn struct {
	conn   net.Conn
	meter  *meter
	reader *bufio.Reader
	clean  bool
	// asked tells the parser of an answer what was asked.
	asked http.Request
	// probe looks at the idle connection; nil if its kind cannot be looked at.
	probe *probe
	// abort ends the reads and writes under way.
	abort func()
}

// NewConn takes over an open connection.
func NewConn(c net.Conn) *Conn {
	m := &meter{conn: c}
	return &Conn{
		conn:   c,
		meter:  m,
		reader: bufio.NewReaderSize(m, readBufferBytes),
		clean:  true,
		probe:  newProbe(c),
		abort:  func() { _ = c.SetDeadline(longAgo) },
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Reusable reports whether the last exchange ended cleanly: the answer was
// whole, nothing came after it and neither side asked to close.
func (c *Conn) Reusable() bool { return c.clean }

// Exchange sends one request and returns the target's whole answer. Every
// error is an *Error. The connection is usable again only if Reusable says so.
func (c *Conn) Exchange(ctx context.Context, r *Request) (*Response, error) {
	if !c.clean {
		return nil, newError(result.ConnectFailed, errUsed)
	}
	left := time.Until(r.Deadline)
	if left <= 0 || ctx.Err() != nil {
		return nil, newError(result.DeadlineBeforeSend, ctx.Err())
	}
	c.clean = false
	c.meter.left = maxHeaderBytes + r.MaxResponseBytes
	if err := c.conn.SetDeadline(r.Deadline); err != nil {
		return nil, newError(result.ConnectFailed, err)
	}
	// A cancelled request ends its reads and writes at once: the target sees
	// the connection close and the slot is free for others.
	stop := context.AfterFunc(ctx, c.abort)
	answer, err := c.run(ctx, r, left)
	if !stop() || !c.clean {
		// Either the deadline was spoilt by the cancellation or the exchange
		// did not end cleanly.
		c.clean = false
		return answer, err
	}
	// A deadline left behind would make an idle connection look closed.
	c.clean = c.conn.SetDeadline(time.Time{}) == nil
	return answer, err
}

func (c *Conn) run(ctx context.Context, r *Request, left time.Duration) (*Response, error) {
	exchange := exchanges.Add(1)
	if r.BodySource != nil || r.Length > longBodyBytes {
		return c.runLong(ctx, r, exchange, left)
	}
	end := c.send(ctx, r, exchange, left)
	werr := end.err
	if werr != nil && end.written == 0 {
		// The system took no byte, so none can reach a target.
		return nil, newError(notSentCode(ctx, werr), werr)
	}
	if werr != nil && isTimeout(werr) {
		return nil, newError(sentCode(ctx, werr), werr)
	}
	// After a write that broke half-way the target may still have answered,
	// for example that it refuses the body.
	answer, err := c.receive(ctx, r, exchange)
	if werr != nil {
		c.clean = false
	}
	return answer, err
}

// send writes the request and returns how that ended.
func (c *Conn) send(ctx context.Context, r *Request, exchange uint64, left time.Duration) sending {
	head := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(head)
	head.Reset()
	writeHead(head, r, exchange, left)
	if r.BodySource != nil {
		return c.sendAsItComes(ctx, head.Bytes(), r)
	}
	if len(r.Body) == 0 {
		n, err := c.conn.Write(head.Bytes())
		return sending{written: int64(n), err: err}
	}
	pieces := make(net.Buffers, 0, 1+len(r.Body))
	pieces = append(pieces, head.Bytes())
	pieces = append(pieces, r.Body...)
	began := time.Now()
	n, err := pieces.WriteTo(c.conn)
	return sending{written: n, took: time.Since(began), err: err}
}
