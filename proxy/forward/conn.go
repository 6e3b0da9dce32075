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
	// maxHeaderBytes bounds the header of a response, with informational responses before it.
	maxHeaderBytes = 64 << 10
	// maxFramingBytes bounds the bytes of a body beyond its content: chunk sizes and trailers.
	maxFramingBytes = 64 << 10
	// maxBufferedBodyBytes is a size that socket buffers accept without blocking.
	maxBufferedBodyBytes = 32 << 10
)

// exchangeCounter generates exchange IDs, unique within the process.
var exchangeCounter atomic.Uint64

// pastDeadline unblocks pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection to a target. It is not safe for concurrent use.
type Conn struct {
	conn     net.Conn
	limited  *limitedReader
	reader   *bufio.Reader
	reusable bool
	// used is set once a response was received.
	used    bool
	history history
	// givenUp is set if an exchange ended without a response.
	givenUp bool
	// pendingRequest gives the response parser the request method.
	pendingRequest http.Request
	// probe is nil if the connection has no file descriptor to inspect.
	probe *idleProbe
	// abort unblocks pending reads and writes.
	abort func()
	// trace is that of the last exchange.
	trace Trace
	// watched is nil for a connection that does not watch its peer, lost is set when it reports the peer lost.
	watched watched
	lost    atomic.Bool
}

// watched is a connection that watches its peer during exchanges and calls lost if the peer is lost.
type watched interface {
	ExchangeBegins(lost func())
	ExchangeEnds()
}

// NewConn returns a Conn that takes ownership of an open connection.
func NewConn(c net.Conn) *Conn {
	limited := &limitedReader{conn: c}
	w, _ := c.(watched)
	return &Conn{
		watched:  w,
		conn:     c,
		limited:  limited,
		reader:   bufio.NewReaderSize(limited, readBufferBytes),
		reusable: true,
		probe:    newIdleProbe(c),
		trace:    Trace{Conn: connCounter.Add(1)},
		abort:    func() { _ = c.SetDeadline(pastDeadline) },
	}
}

// Close closes the connection. If its last exchange was given up, it resets the connection: bytes that are still on
// their way must not reach the target later, when the request counts as ended.
func (c *Conn) Close() {
	if l, ok := c.conn.(lingerer); ok && c.givenUp {
		_ = l.SetLinger(0)
	}
	_ = c.conn.Close()
}

// lingerer is a connection that can be reset, as TCP connections can.
type lingerer interface{ SetLinger(seconds int) error }

// Reusable reports whether another exchange may use the connection: the last
// response was complete, no data followed it, neither side asked to close and the
// history of its requests is not full.
func (c *Conn) Reusable() bool { return c.reusable }

// Used reports whether a response was received over the connection.
func (c *Conn) Used() bool { return c.used }

// Exchange sends one request and returns the complete response. Every error is
// an *Error. The caller must check Reusable before the next exchange.
func (c *Conn) Exchange(ctx context.Context, r *Request) (*Response, error) {
	if !c.reusable {
		return nil, newUnsent(result.ConnectFailed, errNotReusable)
	}
	timeout := time.Until(r.Deadline)
	if timeout <= 0 || ctx.Err() != nil {
		return nil, newUnsent(result.DeadlineBeforeSend, ctx.Err())
	}
	if err := c.recordRequest(r); err != nil {
		return nil, newUnsent(result.ConnectFailed, err)
	}
	c.reusable = false
	c.beginTrace()
	c.limited.remaining = maxHeaderBytes
	if err := c.conn.SetDeadline(r.Deadline); err != nil {
		return nil, newUnsent(result.ConnectFailed, err)
	}
	// Cancellation unblocks I/O at once, so that the connection is closed and the
	// target's slot freed without waiting for the deadline.
	stop := context.AfterFunc(ctx, c.abort)
	resp, err := c.exchangeWatched(ctx, r, timeout)
	c.used = c.used || err == nil
	c.givenUp = err != nil
	if !stop() || !c.reusable || c.history.isFull() || r.acceptsUnnamed() {
		// Cancellation may have overwritten the deadline.
		c.reusable = false
		return resp, err
	}
	// An expired deadline would make the idle connection look closed.
	c.reusable = c.conn.SetDeadline(time.Time{}) == nil
	return resp, err
}

// exchangeWatched is exchange with an error of its own for a peer that is lost meanwhile.
func (c *Conn) exchangeWatched(ctx context.Context, r *Request, timeout time.Duration) (*Response, error) {
	if c.watched == nil {
		return c.exchange(ctx, r, timeout)
	}
	c.watched.ExchangeBegins(func() {
		c.lost.Store(true)
		c.abort()
	})
	resp, err := c.exchange(ctx, r, timeout)
	c.watched.ExchangeEnds()
	if c.lost.Load() {
		c.reusable = false
		if err != nil && ctx.Err() == nil {
			return nil, newError(result.ConnectionLost, errPeerLost)
		}
	}
	return resp, err
}

func (c *Conn) exchange(ctx context.Context, r *Request, timeout time.Duration) (*Response, error) {
	exchangeID := exchangeCounter.Add(1)
	if r.BodySource != nil || r.Length > maxBufferedBodyBytes {
		return c.exchangeConcurrently(ctx, r, exchangeID, timeout)
	}
	sent := c.send(ctx, r, exchangeID, timeout)
	c.trace.Written = sent.written
	writeErr := sent.err
	if writeErr != nil && sent.written == 0 {
		return nil, newUnsent(codeBeforeSend(ctx, writeErr), writeErr)
	}
	if writeErr != nil && isTimeout(writeErr) {
		return nil, newError(codeAfterSend(ctx, writeErr), writeErr)
	}
	// The target may have responded before the write failed, for example to
	// reject the body.
	resp, err := c.receive(ctx, r, exchangeID)
	if writeErr != nil {
		c.reusable = false
	}
	if err != nil {
		return nil, err
	}
	return c.verifyEnd(r, resp, sent)
}

// send writes the request line, header and body.
func (c *Conn) send(ctx context.Context, r *Request, exchangeID uint64, timeout time.Duration) sendResult {
	header := headerBuffers.Get().(*bytes.Buffer)
	defer headerBuffers.Put(header)
	header.Reset()
	writeRequestHeader(header, r, exchangeID, timeout)
	if r.BodySource != nil {
		return c.sendStreamed(ctx, header.Bytes(), r)
	}
	if len(r.Body) == 0 {
		n, err := c.conn.Write(header.Bytes())
		return sendResult{written: int64(n), err: err, failure: socketError(err)}
	}
	buffers := make(net.Buffers, 0, 1+len(r.Body))
	buffers = append(buffers, header.Bytes())
	buffers = append(buffers, r.Body...)
	start := time.Now()
	n, err := buffers.WriteTo(c.conn)
	return sendResult{written: n, duration: time.Since(start), err: err, failure: socketError(err)}
}
