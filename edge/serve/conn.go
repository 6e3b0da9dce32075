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
	errHeaderTooLong = errors.New("serve: header over the limit")
	errBodyTooLong   = errors.New("serve: body over the limit")
	errNoMemory      = errors.New("serve: no memory for the body")
	errExpectation   = errors.New("serve: expectation not known")
)

// conn is one caller's connection.
type conn struct {
	server *Server
	nc     net.Conn
	reader *bufio.Reader
	cancel context.CancelFunc
	once   sync.Once

	mu sync.Mutex
	// inFlight counts requests taken whose answers are not wholly given.
	inFlight int
	// closing tells that no further request is taken.
	closing bool
}

// take counts a request in, unless the connection is closing: a request that was
// not taken was not passed on, and its caller may send it again.
func (c *conn) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.inFlight++
	return true
}

func (c *conn) give() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
}

func (c *conn) hasWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// closeIfIdle closes the connection unless a request is in hand.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.inFlight == 0
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.shut()
	}
}

// isLast decides whether an answer ends the connection. While requests wait
// behind it the connection stays open: they were read, and their callers wait.
func (c *conn) isLast(in *incoming) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !in.last && (!c.server.parting.Load() || c.inFlight > 1) {
		return false
	}
	c.closing = true
	return true
}

// shut closes the connection; the requests in flight learn it by their context.
func (c *conn) shut() {
	c.once.Do(func() {
		c.cancel()
		_ = c.nc.Close()
	})
}

// run reads requests until the connection ends. It goes on reading while
// requests are worked on, so that a caller that leaves is seen at once.
func (c *conn) run(ctx context.Context) {
	var working sync.WaitGroup
	defer func() {
		c.shut()
		working.Wait()
	}()
	places := make(chan struct{}, maxAhead)
	before := make(chan struct{})
	close(before)
	for {
		r, err := c.read()
		if err != nil {
			c.refuse(ctx, err, before)
			return
		}
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			c.drop(r)
			return
		}
		if !c.take() {
			c.drop(r)
			return
		}
		done := make(chan struct{})
		c.server.busy.Add(1)
		previous := before
		working.Go(func() {
			c.serve(ctx, r, previous)
			close(done)
			<-places
		})
		before = done
		if r.last {
			c.awaitEnd(ctx, before)
			return
		}
	}
}

// awaitEnd watches for a caller that leaves while its last request is worked on.
func (c *conn) awaitEnd(ctx context.Context, done <-chan struct{}) {
	gone := make(chan struct{})
	go func() {
		_, _ = c.reader.Peek(1)
		close(gone)
	}()
	select {
	case <-done:
		c.linger(gone)
	case <-gone:
		if c.reader.Buffered() > 0 {
			// Bytes after the last request belong to nothing.
			<-done
		}
	case <-ctx.Done():
	}
}

// lingerTime is how long the caller has to close after the last answer: to close
// with bytes still under way resets the connection and may take the answer along.
const lingerTime = 500 * time.Millisecond

func (c *conn) linger(gone <-chan struct{}) {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-gone:
	case <-timer.C:
	}
}

// incoming is a request with what belongs to its connection.
type incoming struct {
	*Request
	// last tells that the caller closes after this request.
	last bool
	held int64
}

// read returns the next request. Errors of the kind err... are answered, others
// are the end of the connection.
func (c *conn) read() (*incoming, error) {
	limits := c.server.options.Limits()
	if err := c.awaitByte(limits.IdleTime); err != nil {
		return nil, err
	}
	began := time.Now()
	_ = c.nc.SetReadDeadline(began.Add(limits.HeaderTime))
	r, err := c.readHead(limits)
	if err != nil {
		return nil, err
	}
	in := &incoming{last: r.Close || !r.ProtoAtLeast(1, 1), Request: &Request{
		Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Query: r.URL.Query(),
		Host: r.Host, Header: r.Header, Arrived: began,
	}}
	if err := c.readBody(r, in, limits); err != nil {
		c.drop(in)
		return nil, err
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	return in, nil
}

// awaitByte returns when a request begins. A connection is not idle while answers
// are still to come.
func (c *conn) awaitByte(idle time.Duration) error {
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		_, err := c.reader.Peek(1)
		if err == nil || !isTimeout(err) || !c.hasWork() {
			return err
		}
	}
}

// readHead parses request line and fields. The limit holds for the head only: the
// reader below it is the connection's own.
func (c *conn) readHead(limits Limits) (*http.Request, error) {
	if err := c.checkHead(limits.HeaderBytes); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		if isTimeout(err) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		return nil, &badRequest{cause: err}
	}
	return r, nil
}

// checkHead makes room for a head that is longer than the connection's buffer, up
// to the limit.
func (c *conn) checkHead(limit int) error {
	for {
		seen, _ := c.reader.Peek(c.reader.Buffered())
		if bytes.Contains(seen, []byte("\r\n\r\n")) || bytes.Contains(seen, []byte("\n\n")) {
			return nil
		}
		if len(seen) >= limit {
			return errHeaderTooLong
		}
		if len(seen) == c.reader.Size() {
			// What is buffered moves into a larger reader, in front of the rest.
			rest := io.MultiReader(bytes.NewReader(bytes.Clone(seen)), c.nc)
			c.reader = bufio.NewReaderSize(rest, min(2*c.reader.Size(), limit+readBuffer))
		}
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return err
		}
	}
}

// serve answers one request once the one before it is answered.
func (c *conn) serve(ctx context.Context, in *incoming, before <-chan struct{}) {
	defer func() {
		c.drop(in)
		c.give()
		c.server.busy.Add(-1)
	}()
	answer := c.handle(ctx, in.Request)
	<-before
	if answer == nil {
		c.shut()
		return
	}
	last := c.isLast(in)
	switch err := c.write(answer, last); {
	case err != nil:
		c.shut()
	case last && !in.last:
		// A caller that asked for the end closes itself, see awaitEnd.
		c.finish()
	}
}

// handle has the handler answer. A handler that panics fails its request only: the callers of
// such a request repeat it, and it would end one VM after the other.
func (c *conn) handle(ctx context.Context, r *Request) (answer *Response) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.options.Logger.WithFields(logrus.Fields{"panic": cause, "stack": string(debug.Stack())}).
				Error("serve: handler panicked")
			info := result.InfoOf(result.Internal)
			answer = PlainText(info.HTTP, info.Name+"\n")
			answer.Header[result.HeaderResult] = []string{strconv.Itoa(int(info.Code))}
		}
	}()
	return c.server.options.Handler(ctx, r)
}

// finish lets the caller read the last answer before the connection closes.
func (c *conn) finish() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	time.AfterFunc(lingerTime, c.shut)
}

// answers holds buffers for answers.
var answers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, writeBuffer)) }}

func (c *conn) write(a *Response, last bool) error {
	b := answers.Get().(*bytes.Buffer)
	defer answers.Put(b)
	b.Reset()
	a.encode(b, last)
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTime))
	pieces := net.Buffers{b.Bytes()}
	if len(a.Body) > 0 && !a.NoBody {
		pieces = append(pieces, a.Body)
	}
	_, err := pieces.WriteTo(c.nc)
	return err
}
