package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward/forwardtest"
)

// scriptedTarget is a target on a raw connection; a script controls what it
// reads and writes.
type scriptedTarget struct {
	listener net.Listener
	// connections and requests count those that reached the target.
	connections, requests atomic.Int32
	done                  sync.WaitGroup
}

// script handles one connection; when it returns the connection is closed.
type script func(c *scriptedConn)

type scriptedConn struct {
	net.Conn
	target *scriptedTarget
	reader *bufio.Reader
	// exchange is that of the last request.
	exchange string
}

// readHead reads the head of a request.
func (c *scriptedConn) readHead() (*http.Request, error) {
	r, err := http.ReadRequest(c.reader)
	if err == nil {
		c.exchange = r.Header.Get(result.HeaderExchange)
	}
	return r, err
}

// next reads one whole request, or returns nil at the end.
func (c *scriptedConn) next() *http.Request {
	r, err := c.readHead()
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	c.target.requests.Add(1)
	return r
}

// respond names the last request in answers.
func (c *scriptedConn) respond(text string) {
	_, _ = io.WriteString(c.Conn, forwardtest.Name(text, c.exchange))
}

// newScriptedTarget starts a target that is stopped at the end of the test.
func newScriptedTarget(t *testing.T, run script) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: l}
	s.done.Go(func() { s.accept(run) })
	t.Cleanup(func() {
		l.Close()
		s.done.Wait()
	})
	return s
}

func (s *scriptedTarget) accept(run script) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		s.done.Go(func() {
			defer c.Close()
			run(&scriptedConn{Conn: c, target: s, reader: bufio.NewReader(c)})
		})
	}
}

func (s *scriptedTarget) address() string { return s.listener.Addr().String() }

// respondAlways returns a script that answers every request with text.
func respondAlways(text string) script {
	return func(c *scriptedConn) {
		for c.next() != nil {
			c.respond(text)
		}
	}
}

// respondOnce returns a script that answers one request and closes.
func respondOnce(text string) script {
	return func(c *scriptedConn) {
		if c.next() != nil {
			c.respond(text)
		}
	}
}

// newBlockedTarget starts a target that answers no request until release is
// called.
func newBlockedTarget(t *testing.T) (s *scriptedTarget, release func()) {
	t.Helper()
	released := make(chan struct{})
	s = newScriptedTarget(t, func(c *scriptedConn) {
		for c.next() != nil {
			<-released
			c.respond(okAnswer)
		}
	})
	return s, func() { close(released) }
}

// wantRequests checks how many requests have reached the target.
func (s *scriptedTarget) wantRequests(t *testing.T, want int) {
	t.Helper()
	if n := int(s.requests.Load()); n != want {
		t.Fatalf("the target got %d requests, want %d", n, want)
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
