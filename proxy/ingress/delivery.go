package ingress

import (
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/proxy/sendqueue"
)

// lingerTimeout is how long the client has to close after it has got the last
// response.
const lingerTimeout = 500 * time.Millisecond

// maxWriteTime bounds the time for one response, however slowly the client reads.
const maxWriteTime = 150 * time.Second

// heldBytes returns how many response bytes the client has not acknowledged.
func (c *connection) heldBytes() int {
	c.mu.Lock()
	queued := int(c.bytesQueued - c.bytesWritten)
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0
	}
	return queued + sendqueue.Bytes(c.Conn)
}

// waitFlushed blocks until the kernel has accepted all response bytes or the
// connection is closed. A client that reads nothing for WriteTimeout is
// disconnected.
func (c *connection) waitFlushed() {
	c.mu.Lock()
	if c.closed || c.bytesWritten >= c.bytesQueued {
		c.mu.Unlock()
		return
	}
	if c.flushed == nil {
		c.flushed = make(chan struct{})
	}
	flushed := c.flushed
	c.mu.Unlock()
	began := time.Now()
	d := sendqueue.Follow(began, c.heldBytes)
	tick := time.NewTicker(c.server.options.WriteTimeout / 2)
	defer tick.Stop()
	for {
		select {
		case <-flushed:
			return
		case now := <-tick.C:
			d.Update(now)
			if d.StalledFor(now) >= c.server.options.WriteTimeout || now.Sub(began) > maxWriteTime {
				c.closeNow()
			}
		}
	}
}

// closeNow closes the connection through its read deadline, as the engine does.
func (c *connection) closeNow() { _ = c.SetReadDeadline(time.Now()) }

// linger closes the connection when the client has got the responses so far and
// has had time to close it itself. Until then input is read: closing with unread
// bytes, or bytes that arrive after the close, reset the connection and discard
// what the kernel holds.
func (c *connection) linger() {
	c.Execute(func() {
		_ = c.SetReadDeadline(time.Time{})
		go c.awaitDelivery()
	})
}

func (c *connection) awaitDelivery() {
	gone := make(chan struct{})
	stop := c.watchClose(func() { close(gone) })
	defer stop()
	sendqueue.Await(gone, c.heldBytes, sendqueue.Limits{
		Linger: lingerTimeout, Stall: c.server.options.WriteTimeout, Total: maxWriteTime,
	})
	c.closeNow()
}

// letClientClose is httpserver.LetClientClose for all versions: what closes after
// an HTTP/1.0 response here is linger, see closesAfter.
func letClientClose(w http.ResponseWriter, r *http.Request) {
	httpserver.LetClientClose(w, r)
	if r.Close {
		r.Close = false
		w.Header().Set("Connection", "close")
	}
}

// closesAfter reports whether the server closes the connection after the response
// to a request.
func closesAfter(w http.ResponseWriter, r *http.Request) bool {
	return !r.ProtoAtLeast(1, 1) && w.Header().Get("Connection") == "close"
}

// Undelivered returns the number of connections with responses that their clients
// have not got yet. They are lost if the process ends.
func (s *Server) Undelivered() (n int) {
	s.connections.Range(func(c, _ any) bool {
		if c.(*connection).heldBytes() > 0 {
			n++
		}
		return true
	})
	return n
}
