package serve

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/sendqueue"
)

const (
	// lingerTimeout is how long the caller has to close after it has got the last response.
	lingerTimeout = 500 * time.Millisecond
	// DefaultWriteTimeout is the default of Options.WriteTimeout.
	DefaultWriteTimeout = 15 * time.Second
	// maxWriteTime bounds the time for one response, however slowly the caller reads.
	maxWriteTime = 150 * time.Second
)

// heldBytes returns how many bytes the kernel holds that the caller has not acknowledged.
func (c *conn) heldBytes() int {
	if nc, ok := c.nc.(syscall.Conn); ok {
		return sendqueue.Bytes(nc)
	}
	return 0
}

// writeAll gives up when the caller has read nothing for WriteTimeout and its deadline has passed, or after
// maxWriteTime.
func (c *conn) writeAll(buffers net.Buffers, awaitedUntil time.Time) error {
	began := time.Now()
	d := sendqueue.Follow(began, c.heldBytes)
	for {
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
		n, err := buffers.WriteTo(c.nc)
		if !isTimeout(err) {
			return err
		}
		now := time.Now()
		d.Update(now)
		moved := n > 0 || d.StalledFor(now) < c.server.options.WriteTimeout
		if now.Sub(began) > maxWriteTime || !moved && now.After(awaitedUntil) {
			return err
		}
	}
}

// linger closes the connection when its caller has got the last response and has had time to close it itself, or
// reads nothing for WriteTimeout. Until then input is read, see run: closing with unread bytes, or bytes that arrive
// after the close, reset the connection and discard what the kernel holds.
func (c *conn) linger() {
	c.lingers.Do(func() {
		if tcp, ok := c.nc.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		go func() {
			sendqueue.Await(c.closed, c.heldBytes, sendqueue.Limits{
				Linger: lingerTimeout, Stall: c.server.options.WriteTimeout, Total: maxWriteTime,
			})
			c.close()
		}()
	})
}

// discardInput reads until the caller closes or the connection is closed.
func (c *conn) discardInput() {
	_ = c.nc.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.reader)
}

// Undelivered returns the number of connections with responses that their callers have not got yet. They are lost
// if the process ends.
func (s *Server) Undelivered() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.heldBytes() > 0 {
			n++
		}
	}
	return n
}
