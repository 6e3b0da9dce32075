package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// scripted is a target on a raw connection: a script decides byte by byte what
// it reads and answers.
type scripted struct {
	listener net.Listener
	// connections and requests count what reached the target.
	connections, requests atomic.Int32
	done                  sync.WaitGroup
}

// script handles one connection; when it returns the connection is closed.
type script func(c *scriptedConn)

type scriptedConn struct {
	net.Conn
	target *scripted
	reader *bufio.Reader
}

// next reads one whole request, or returns nil at the end.
func (c *scriptedConn) next() *http.Request {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	c.target.requests.Add(1)
	return r
}

func (c *scriptedConn) say(text string) { _, _ = io.WriteString(c.Conn, text) }

// newScripted starts a target; it counts as stopped at the end of the test.
func newScripted(t *testing.T, run script) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{listener: l}
	s.done.Go(func() { s.accept(run) })
	t.Cleanup(func() {
		l.Close()
		s.done.Wait()
	})
	return s
}

func (s *scripted) accept(run script) {
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

func (s *scripted) address() string { return s.listener.Addr().String() }

// answering returns a script that answers every request in the same way.
func answering(text string) script {
	return func(c *scriptedConn) {
		for c.next() != nil {
			c.say(text)
		}
	}
}

// answeringOnce returns a script that answers one request and closes.
func answeringOnce(text string) script {
	return func(c *scriptedConn) {
		if c.next() != nil {
			c.say(text)
		}
	}
}

// newHeld starts a target that works on every request until release is called.
func newHeld(t *testing.T) (s *scripted, release func()) {
	t.Helper()
	released := make(chan struct{})
	s = newScripted(t, func(c *scriptedConn) {
		for c.next() != nil {
			<-released
			c.say(okAnswer)
		}
	})
	return s, func() { close(released) }
}

// wantRequests checks how many requests have reached the target.
func (s *scripted) wantRequests(t *testing.T, want int) {
	t.Helper()
	if n := int(s.requests.Load()); n != want {
		t.Fatalf("the target got %d requests, want %d", n, want)
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
