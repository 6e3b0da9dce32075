package ingress

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// connection is a client connection.
type connection struct {
	*nbio.Conn
	server *Server
	parser *nbhttp.Parser
	// parseMu guards the processor: the engine reads on one goroutine and
	// cleans up after a close on another.
	parseMu   sync.Mutex
	processor *processor
	// active counts dispatched requests whose responses are not written.
	active atomic.Int64
	// readTimer ends the time for the rest of a message or for the next one, see timing.
	readTimer *time.Timer
	timing    timing

	mu sync.Mutex
	// bytesQueued counts response bytes passed to the engine, bytesWritten
	// those accepted by the kernel; flushed is closed when they are equal, nil
	// without waiters.
	bytesQueued, bytesWritten int64
	flushed                   chan struct{}
	closed                    bool
	watchers                  map[int]func()
	nextWatcher               int
	// dispatched holds the state of dispatched requests, in order.
	dispatched []requestState
	// incoming is the body being collected.
	incoming *Body
}

// timing is what the read timer of a connection runs for.
type timing int

const (
	// notTimed: requests are served, or the connection is about to close.
	notTimed timing = iota
	idleTimed
	messageTimed
)

func newConnection(s *Server, nbc *nbio.Conn) *connection {
	c := &connection{Conn: nbc, server: s}
	c.processor = &processor{Processor: nbhttp.NewServerProcessor(), conn: c, admissionHeader: make(http.Header)}
	c.resetParser()
	c.timing = idleTimed
	c.readTimer = time.AfterFunc(s.options.IdleTimeout, c.onReadTimeout)
	return c
}

// resetParser installs a parser that expects a new request.
func (c *connection) resetParser() {
	c.parser = nbhttp.NewParser(c, c.server.engine, c.processor, false, c.Conn.Execute)
}

// Write counts response bytes; nbio buffers what the kernel does not accept.
func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.bytesQueued += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// onData parses received bytes on the engine's reading goroutine.
func (c *connection) onData(data []byte) {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	// The rest of a rejected request is discarded: closing with unread bytes
	// would reset the connection and could lose the response.
	for len(data) > 0 && !c.processor.rejected {
		data = c.parseNext(data)
	}
	c.updateReadTimer()
}

// parseNext consumes at most the rest of a header or of a collected body, and
// returns the remaining bytes.
func (c *connection) parseNext(data []byte) []byte {
	p := c.processor
	if c.incoming != nil {
		return p.collect(data)
	}
	var rest []byte
	p.splitAtBlankLine = false
	if !p.inBody {
		data, rest, p.splitAtBlankLine = splitAfterBlankLine(data)
	}
	p.count(len(data))
	if err := c.parser.Parse(data); err != nil {
		p.reject(result.BadRequest)
	}
	if p.headerTooLarge() {
		p.reject(result.BadRequest)
	}
	if p.bodyTooLarge() {
		p.reject(result.RequestTooLarge)
	}
	return rest
}

// splitAfterBlankLine splits data after the first blank line, which is where
// the parser ends a header.
func splitAfterBlankLine(data []byte) (head, rest []byte, found bool) {
	for start := 0; ; {
		n := bytes.IndexByte(data[start:], '\n')
		if n < 0 {
			return data, nil, false
		}
		end := start + n + 1
		if isBlank(data[start:end]) {
			return data[:end], data[end:], true
		}
		start = end
	}
}

// isBlank reports whether a line holds only spaces before its end.
func isBlank(line []byte) bool {
	for _, c := range line {
		if c != ' ' && c != '\r' && c != '\n' {
			return false
		}
	}
	return true
}

// closeParser frees the parser's memory after the connection was closed.
func (c *connection) closeParser(err error) {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	c.parser.CloseAndClean(err)
}

// updateReadTimer starts the time for the rest of an incomplete message, or for
// the next one. Neither runs while requests are served. The caller holds parseMu.
func (c *connection) updateReadTimer() {
	p := c.processor
	receiving := p.isReceiving()
	switch {
	case p.rejected || c.active.Load() > 0 || p.dispatchedEarly:
		c.readTimer.Stop()
		c.timing = notTimed
	case receiving && c.timing != messageTimed:
		c.readTimer.Reset(p.readTimeout())
		c.timing = messageTimed
	case !receiving:
		c.readTimer.Reset(c.server.options.IdleTimeout)
		c.timing = idleTimed
	}
}

// onReadTimeout closes the connection once its responses are delivered.
func (c *connection) onReadTimeout() {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	if c.timing == notTimed || c.processor.rejected || c.active.Load() > 0 {
		return
	}
	c.processor.rejected = true
	c.linger()
}

// endRequest ends a dispatched request: when its response is written, the
// time for the message behind it begins.
func (c *connection) endRequest() {
	c.Execute(func() {
		c.active.Add(-1)
		c.parseMu.Lock()
		defer c.parseMu.Unlock()
		c.updateReadTimer()
	})
}

// onClose notifies the watchers that the connection was closed.
func (c *connection) onClose() {
	c.mu.Lock()
	c.closed = true
	c.readTimer.Stop()
	watchers := c.watchers
	c.watchers = nil
	body := c.incoming
	c.notifyFlushedLocked()
	c.mu.Unlock()
	for _, notify := range watchers {
		notify()
	}
	// Abort after the watchers ran, so that the handler sees a closed client
	// connection rather than a body error.
	if body != nil {
		body.abort()
	}
}

// setIncoming sets the body being collected, nil for none.
func (c *connection) setIncoming(b *Body) {
	c.mu.Lock()
	closed := c.closed
	c.incoming = b
	c.mu.Unlock()
	if closed && b != nil {
		b.abort()
	}
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// watchClose calls notify once the connection is closed, at once if it already
// is.
func (c *connection) watchClose(notify func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		go notify()
		return func() {}
	}
	if c.watchers == nil {
		c.watchers = make(map[int]func())
	}
	id := c.nextWatcher
	c.nextWatcher++
	c.watchers[id] = notify
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.watchers, id)
	}
}

func (c *connection) onWritten(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesWritten += int64(n)
	if c.bytesWritten >= c.bytesQueued {
		c.notifyFlushedLocked()
	}
}

// notifyFlushedLocked wakes the waiters of waitFlushed. The caller holds mu.
func (c *connection) notifyFlushedLocked() {
	if c.flushed != nil {
		close(c.flushed)
		c.flushed = nil
	}
}

func (c *connection) pushDispatched(s requestState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatched = append(c.dispatched, s)
}

// popDispatched returns the state of the oldest dispatched request.
func (c *connection) popDispatched() requestState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.dispatched) == 0 {
		return requestState{}
	}
	t := c.dispatched[0]
	// Shifting reuses the slice; clients rarely pipeline requests.
	c.dispatched = append(c.dispatched[:0], c.dispatched[1:]...)
	return t
}

// releaseDispatched releases the reservations of requests that no handler will
// see.
func (c *connection) releaseDispatched() {
	c.mu.Lock()
	unseen := c.dispatched
	c.dispatched = nil
	c.mu.Unlock()
	for _, t := range unseen {
		t.release()
	}
}
