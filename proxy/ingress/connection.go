package ingress

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// connection is one caller's connection.
type connection struct {
	*nbio.Conn
	server *Server
	parser *nbhttp.Parser
	// reading guards the processor: the engine reads on one goroutine and
	// cleans up after a close on another.
	reading   sync.Mutex
	processor *processor
	// timed tells that a read deadline for the message under way is set.
	timed bool

	mu sync.Mutex
	// handed and taken count answer bytes given to the engine and taken by the
	// system; idle is closed when they are equal while somebody waits.
	handed, taken int64
	idle          chan struct{}
	closed        bool
	watchers      map[int]func()
	nextWatcher   int
	// handedOver belongs to requests handed over, in their order.
	handedOver []taken
	// coming is the body that is being collected.
	coming *Body
}

func newConnection(s *Server, nbc *nbio.Conn) *connection {
	c := &connection{Conn: nbc, server: s}
	c.processor = &processor{Processor: nbhttp.NewServerProcessor(), conn: c, header: make(http.Header)}
	c.renewParser()
	return c
}

// renewParser makes a parser that awaits a request.
func (c *connection) renewParser() {
	c.parser = nbhttp.NewParser(c, c.server.engine, c.processor, false, c.Conn.Execute)
}

// Write counts answer bytes. nbio keeps in memory what the system does not
// take at once.
func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.handed += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// onData parses what came. It runs on the engine's reading goroutine.
func (c *connection) onData(data []byte) {
	c.reading.Lock()
	defer c.reading.Unlock()
	// The rest of a refused request is read and dropped: to close with unread
	// bytes would reset the connection and could take the refusal with it.
	for len(data) > 0 && !c.processor.refused {
		data = c.step(data)
	}
	c.boundTime()
}

// step takes what comes next, at most the rest of a head or of a collected
// body, and returns the other bytes.
func (c *connection) step(data []byte) []byte {
	p := c.processor
	if c.coming != nil {
		return p.collect(data)
	}
	var rest []byte
	p.cut = false
	if !p.inBody {
		data, rest, p.cut = cutAtBlankLine(data)
	}
	p.count(len(data))
	if err := c.parser.Parse(data); err != nil {
		p.refuse(result.BadRequest)
	}
	if p.headTooLong() {
		p.refuse(result.BadRequest)
	}
	if p.bodyTooLong() {
		p.refuse(result.RequestTooLarge)
	}
	return rest
}

// cutAtBlankLine returns the bytes up to the end of the first line without
// content, and the others, or all if there is no such line. The parser takes a
// head to end nowhere else.
func cutAtBlankLine(data []byte) (upTo, rest []byte, found bool) {
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

// isBlank reports whether a line has nothing but blanks before its end.
func isBlank(line []byte) bool {
	for _, c := range line {
		if c != ' ' && c != '\r' && c != '\n' {
			return false
		}
	}
	return true
}

// clean frees what the parser holds after the connection has closed.
func (c *connection) clean(err error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.parser.CloseAndClean(err)
}

// boundTime sets a deadline for a message that has begun and is not whole yet.
func (c *connection) boundTime() {
	p := c.processor
	if p.refused || !p.underWay() {
		c.timed = false
		return
	}
	if c.timed {
		return
	}
	c.timed = true
	_ = c.SetReadDeadline(time.Now().Add(p.timeLeft()))
}

// gone tells the watchers that the caller has closed the connection.
func (c *connection) gone() {
	c.mu.Lock()
	c.closed = true
	watchers := c.watchers
	c.watchers = nil
	coming := c.coming
	c.wakeIdle()
	c.mu.Unlock()
	for _, tell := range watchers {
		tell()
	}
	// After the watchers: the handler sees a caller that has gone, not a body
	// that fails.
	if coming != nil {
		coming.end()
	}
}

// setComing tells which body is being collected, nil for none.
func (c *connection) setComing(b *Body) {
	c.mu.Lock()
	closed := c.closed
	c.coming = b
	c.mu.Unlock()
	if closed && b != nil {
		b.end()
	}
}

// linger closes the connection after its last answer, not at once, so that
// the bytes still under way from the caller do not reset it.
func (c *connection) linger() {
	c.Execute(func() { _ = c.SetReadDeadline(time.Now().Add(lingerTime)) })
}

func (c *connection) hasClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// watch calls tell when the connection has closed, at once if it has already.
func (c *connection) watch(tell func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		go tell()
		return func() {}
	}
	if c.watchers == nil {
		c.watchers = make(map[int]func())
	}
	id := c.nextWatcher
	c.nextWatcher++
	c.watchers[id] = tell
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.watchers, id)
	}
}

func (c *connection) wrote(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken += int64(n)
	if c.taken >= c.handed {
		c.wakeIdle()
	}
}

// wakeIdle is called with the lock held.
func (c *connection) wakeIdle() {
	if c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// waitTaken returns when the system has taken all answer bytes or the
// connection has closed; a caller that does not read for AnswerTime is closed.
func (c *connection) waitTaken() {
	c.mu.Lock()
	if c.closed || c.taken >= c.handed {
		c.mu.Unlock()
		return
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	<-idle
	_ = c.SetWriteDeadline(time.Time{})
}

func (c *connection) putTaken(t taken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handedOver = append(c.handedOver, t)
}

// nextTaken returns what belongs to the request handed over next.
func (c *connection) nextTaken() taken {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.handedOver) == 0 {
		return taken{}
	}
	t := c.handedOver[0]
	// A caller seldom sends ahead, so that nearly always one is moved to none,
	// and the list keeps its memory.
	c.handedOver = append(c.handedOver[:0], c.handedOver[1:]...)
	return t
}

// dropTaken frees the reservations of requests that no handler will see.
func (c *connection) dropTaken() {
	c.mu.Lock()
	unseen := c.handedOver
	c.handedOver = nil
	c.mu.Unlock()
	for _, t := range unseen {
		t.release()
	}
}
