package serve

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
)

var (
	errHeaderTooLong = errors.New("serve: header exceeds the limit")
	errBodyTooLong   = errors.New("serve: body exceeds the limit")
	errNoMemory      = errors.New("serve: out of memory for request bodies")
	errUnread        = errors.New("serve: callers read responses too slowly")
	errExpectation   = errors.New("serve: unsupported expectation")
)

type conn struct {
	server *Server
	nc     net.Conn
	reader *bufio.Reader
	cancel context.CancelFunc
	// closed is closed with the connection.
	closed  chan struct{}
	once    sync.Once
	lingers sync.Once
	// head is the header of the request that is being read, nil before it is known.
	head http.Header

	mu sync.Mutex
	// inFlight is the number of accepted requests without a complete response.
	inFlight int
	// closing is set when no further requests are accepted.
	closing bool
}

// beginRequest accepts a request unless the connection is closing. A request that is not
// accepted was not passed to the handler, so its caller may retry it.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.inFlight++
	return true
}

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
}

func (c *conn) hasRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// closeIfIdle closes the connection once its responses are delivered, unless requests are in flight.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.inFlight == 0
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.linger()
	}
}

// stopAccepting makes the connection accept no further requests. It returns false if that was so before.
func (c *conn) stopAccepting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.closing
	c.closing = true
	return !before
}

// isLast reports whether a response closes the connection. It does not while pipelined
// requests follow that were already read.
func (c *conn) isLast(in *incoming) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !in.last && (!c.server.closing.Load() || c.inFlight > 1) {
		return false
	}
	c.closing = true
	return true
}

// close closes the connection and cancels the contexts of its requests. Responses that the caller has not got
// yet may be lost, see linger.
func (c *conn) close() {
	c.once.Do(func() {
		c.cancel()
		close(c.closed)
		_ = c.nc.Close()
	})
}

// run reads requests until the connection ends. It keeps reading while requests are
// handled, so that a disconnect is noticed at once.
func (c *conn) run(ctx context.Context) {
	var handlers sync.WaitGroup
	previousDone, err := c.accept(ctx, &handlers)
	if status := statusOf(err); err == nil || status != 0 || isTimeout(err) {
		// Reading goes on while responses are written: closing with unread bytes resets the connection,
		// and a disconnect must be noticed.
		go func() {
			<-previousDone
			c.refuse(err, status)
			c.linger()
		}()
		c.discardInput()
	}
	// The caller is gone, or sends no more. Responses that are complete are written nevertheless.
	c.cancel()
	handlers.Wait()
	c.close()
}

// accept reads and handles requests. It returns when no further ones are accepted, with nil, or with the error
// that prevents it, and the channel that is closed when the last accepted request has its response.
func (c *conn) accept(ctx context.Context, handlers *sync.WaitGroup) (<-chan struct{}, error) {
	slots := make(chan struct{}, maxPipelined)
	previousDone := make(chan struct{})
	close(previousDone)
	for {
		r, err := c.read()
		if err != nil {
			return previousDone, err
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			c.release(r)
			return previousDone, ctx.Err()
		}
		if !c.beginRequest() {
			c.release(r)
			return previousDone, nil
		}
		done := make(chan struct{})
		c.server.inFlight.Add(1)
		previous := previousDone
		handlers.Go(func() {
			c.serve(ctx, r, previous)
			close(done)
			<-slots
		})
		previousDone = done
		if r.last {
			return previousDone, nil
		}
	}
}

// incoming is a request with the state that its connection keeps for it.
type incoming struct {
	*Request
	// last is set when the caller closes the connection after this request.
	last     bool
	reserved int64
}

// read returns the next request. It returns one of the err variables or a badRequestError
// for a request to refuse, and other errors for the end of the connection.
func (c *conn) read() (*incoming, error) {
	limits := c.server.options.Limits()
	c.head = nil
	if err := c.awaitRequest(limits.IdleTime); err != nil {
		return nil, err
	}
	began := time.Now()
	_ = c.nc.SetReadDeadline(began.Add(limits.HeaderTime))
	r, err := c.readHead(limits)
	if err != nil {
		return nil, err
	}
	c.head = r.Header
	if c.server.hasTooManyUnread() {
		return nil, errUnread
	}
	in := &incoming{last: r.Close || !r.ProtoAtLeast(1, 1), Request: &Request{
		Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Query: r.URL.Query(),
		Host: r.Host, Header: r.Header, Arrived: began,
	}}
	if err := c.readBody(r, in, limits); err != nil {
		c.release(in)
		return nil, err
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	return in, nil
}

// awaitRequest waits for the first byte of a request. The idle timeout does not apply while
// requests are in flight.
func (c *conn) awaitRequest(idle time.Duration) error {
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		_, err := c.reader.Peek(1)
		if err == nil || !isTimeout(err) || !c.hasRequests() {
			return err
		}
	}
}

// readHead parses the request line and header fields. Only their size is limited here.
func (c *conn) readHead(limits Limits) (*http.Request, error) {
	if err := c.bufferHead(limits.HeaderBytes); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		if isTimeout(err) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		return nil, &badRequestError{cause: err}
	}
	return r, nil
}

// bufferHead reads the whole head into the buffer, which it grows up to the limit.
func (c *conn) bufferHead(limit int) error {
	for {
		seen, _ := c.reader.Peek(c.reader.Buffered())
		if bytes.Contains(seen, []byte("\r\n\r\n")) || bytes.Contains(seen, []byte("\n\n")) {
			return nil
		}
		if len(seen) >= limit {
			return errHeaderTooLong
		}
		if len(seen) == c.reader.Size() {
			// The larger reader starts with the bytes buffered so far.
			rest := io.MultiReader(bytes.NewReader(bytes.Clone(seen)), c.nc)
			c.reader = bufio.NewReaderSize(rest, min(2*c.reader.Size(), limit+readBufferSize))
		}
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return err
		}
	}
}

// serve handles one request and writes its response after the previous one's.
func (c *conn) serve(ctx context.Context, in *incoming, previousDone <-chan struct{}) {
	defer func() {
		c.release(in)
		c.endRequest()
		c.server.inFlight.Add(-1)
	}()
	response := c.handle(ctx, in.Request)
	if response == nil {
		<-previousDone
		c.close()
		return
	}
	held := int64(len(response.Body))
	c.server.unread.Add(held)
	defer c.server.unread.Add(-held)
	<-previousDone
	last := c.isLast(in)
	if err := c.write(response, last); err != nil {
		c.close()
	} else if last {
		c.linger()
	}
}

// handle calls the handler. A panic fails only its request: callers retry such requests
// at other VMs and would otherwise crash one VM after another.
func (c *conn) handle(ctx context.Context, r *Request) (response *Response) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.options.Logger.WithFields(logrus.Fields{"panic": cause, "stack": string(debug.Stack())}).
				Error("serve: handler panicked")
			info := result.InfoOf(result.Internal)
			response = c.ownResponse(info.HTTP, info.Name+"\n", r.Header)
			response.Header[result.HeaderResult] = []string{strconv.Itoa(int(info.Code))}
		}
	}()
	return c.server.options.Handler(ctx, r)
}

var writeBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, writeBufferSize)) }}

func (c *conn) write(a *Response, last bool) error {
	b := writeBuffers.Get().(*bytes.Buffer)
	defer writeBuffers.Put(b)
	b.Reset()
	a.encode(b, last)
	buffers := net.Buffers{b.Bytes()}
	if len(a.Body) > 0 && !a.NoBody {
		buffers = append(buffers, a.Body)
	}
	return c.writeAll(buffers, a.AwaitedUntil)
}
