package serve

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// largeBytes exceed what the kernel holds for a connection, heldBytes do not.
	largeBytes = 12 << 20
	heldBytes  = 300 << 10
	// smallBuffer is the receive buffer of a caller that reads slowly, in bytes.
	smallBuffer = 16 << 10
)

// startLarge starts a server whose answers have the given length. begun is called when a request is handled.
func startLarge(t *testing.T, length int, limits Limits, begun func(r *Request)) *Server {
	t.Helper()
	return startWith(t, Options{Limits: func() Limits { return limits }}, length, 0, begun)
}

// startWith is startLarge with other options. patience is the time until the caller's deadline, 0 for none.
func startWith(t *testing.T, o Options, length int, patience time.Duration, begun func(r *Request)) *Server {
	t.Helper()
	l := logrus.New()
	l.SetOutput(io.Discard)
	body := bytes.Repeat([]byte("x"), length)
	o.Address, o.Logger = "127.0.0.1:0", logrus.NewEntry(l)
	o.Handler = func(_ context.Context, r *Request) *Response {
		begun(r)
		a := &Response{Status: http.StatusOK, Header: http.Header{}, Body: body}
		if patience > 0 {
			a.AwaitedUntil = time.Now().Add(patience)
		}
		return a
	}
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// dialSlowly connects a caller whose kernel takes little that it does not read.
func dialSlowly(t *testing.T, s *Server) *caller {
	t.Helper()
	c := dial(t, s)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil {
		t.Fatal(err)
	}
	return c
}

// wantWhole reads a response to its end.
func (c *caller) wantWhole(length int) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || int(n) != length || resp.StatusCode != http.StatusOK {
		c.t.Errorf("status %d, %d of %d bytes, %v", resp.StatusCode, n, length, err)
	}
}

// try sends bytes that the server may not read any more.
func (c *caller) try(text string) { _, _ = io.WriteString(c.Conn, text) }

// waitUntil polls for a condition.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// shortHeader makes requests that arrive in part time out soon.
var shortHeader = Limits{HeaderBytes: 8 << 10, BodyBytes: 200 << 10, HeaderTime: 200 * time.Millisecond, IdleTime: 200 * time.Millisecond}

// Whatever arrives behind a request must not break off its answer, neither while the answer is written nor while
// it lies in the kernel's buffer.
func TestWhatArrivesBehindARequestDoesNotCutItsAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		behind string
		// stopping is set if the server stops, so that the answer is the last one on its connection.
		stopping, closes bool
	}{
		"request after a stop":             {behind: get("/b"), stopping: true},
		"requests after a stop":            {behind: get("/b") + get("/c") + get("/d"), stopping: true},
		"upload after a stop":              {behind: "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + string(make([]byte, 100_000)), stopping: true},
		"part of a request after a stop":   {behind: "GET /b HTT", stopping: true},
		"malformed request":                {behind: "not a request\r\n\r\n"},
		"malformed request after a stop":   {behind: "not a request\r\n\r\n", stopping: true},
		"header that is too long":          {behind: "GET /b HTTP/1.1\r\nA: " + string(bytes.Repeat([]byte("a"), 32<<10))},
		"part of a request":                {behind: "GET /b HTT"},
		"part of a body":                   {behind: "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nfive"},
		"request behind Connection: close": {behind: get("/b"), closes: true},
	} {
		for length, size := range map[string]int{"written": largeBytes, "in the kernel": heldBytes} {
			t.Run(name+", "+length, func(t *testing.T) {
				t.Parallel()
				begun := make(chan struct{}, 8)
				s := startLarge(t, size, shortHeader, func(r *Request) {
					if r.Path != "/a" {
						t.Errorf("%s was handled", r.Path)
					}
					begun <- struct{}{}
				})
				caller := dialSlowly(t, s)
				request := get("/a")
				if c.closes {
					request = "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
				}
				if c.stopping {
					s.DisableKeepAlives()
				}
				caller.send(request)
				<-begun
				// The answer is being written.
				time.Sleep(50 * time.Millisecond)
				caller.try(c.behind)
				time.Sleep(4 * shortHeader.HeaderTime)
				caller.try(get("/late"))
				time.Sleep(50 * time.Millisecond)
				caller.wantWhole(size)
			})
		}
	}
}

// A caller that has closed its side for sending, or that leaves, ends the work on its requests; an answer that is
// complete must still reach it.
func TestCallerThatSendsNoMoreGetsTheAnswerThatIsReady(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{}, 1)
	s := startLarge(t, largeBytes, testLimits, func(*Request) { begun <- struct{}{} })
	c := dialSlowly(t, s)
	c.send(get("/a"))
	<-begun
	time.Sleep(50 * time.Millisecond)
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	c.wantWhole(largeBytes)
}

// Closing idle connections must not discard the last answer, which may lie in the kernel's buffer, although the
// caller sends a further request meanwhile.
func TestClosingIdleConnectionsKeepsAnswersUnderWay(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{}, 2)
	s := startLarge(t, heldBytes, testLimits, func(*Request) { begun <- struct{}{} })
	c := dialSlowly(t, s)
	c.send(get("/a"))
	<-begun
	waitUntil(func() bool { return s.InFlight() == 0 })
	s.DisableKeepAlives()
	s.CloseIdle()
	c.try(get("/b"))
	time.Sleep(2 * lingerTimeout)
	c.wantWhole(heldBytes)
}

// A process that stops must know of answers that its callers have not got yet: they are lost if it ends before.
func TestAnswersInTheKernelCountAsUndelivered(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{}, 2)
	s := startLarge(t, heldBytes, testLimits, func(*Request) { begun <- struct{}{} })
	c := dialSlowly(t, s)
	s.DisableKeepAlives()
	c.send(get("/a"))
	<-begun
	waitUntil(func() bool { return s.InFlight() == 0 })
	if s.Undelivered() != 1 {
		t.Errorf("%d connections with undelivered answers, want 1", s.Undelivered())
	}
	c.wantWhole(heldBytes)
	waitUntil(func() bool { return s.Undelivered() == 0 })
}

// A connection must not stay open for a caller that neither reads nor closes.
func TestConnectionOfASilentCallerIsClosed(t *testing.T) {
	for name, path := range map[string]string{"read": "/a", "unread": "/b"} {
		t.Run(name, func(t *testing.T) {
			s := startLarge(t, 100, testLimits, func(*Request) {})
			c := dial(t, s)
			s.DisableKeepAlives()
			c.send(get(path))
			if name == "read" {
				c.wantWhole(100)
			}
			waitUntil(func() bool { return s.open.Load() == 0 })
		})
	}
}

// After the last response, further bytes must neither be answered nor keep the connection open.
func TestEndlessInputBehindTheLastRequestEnds(t *testing.T) {
	t.Parallel()
	s := startLarge(t, 100, testLimits, func(*Request) {})
	c := dial(t, s)
	s.DisableKeepAlives()
	c.send(get("/a"))
	for {
		if _, err := io.WriteString(c.Conn, get("/b")); err != nil {
			break
		}
	}
	waitUntil(func() bool { return s.open.Load() == 0 })
}

// hurriedTimeout is a short WriteTimeout.
const hurriedTimeout = time.Second

func hurried() Options {
	return Options{Limits: func() Limits { return testLimits }, WriteTimeout: hurriedTimeout}
}

// A caller that reads slowly but steadily must get the whole answer, though that takes longer than WriteTimeout.
func TestSlowReaderGetsTheWholeAnswer(t *testing.T) {
	t.Parallel()
	const steps, step = 3, 256 << 10
	s := startWith(t, hurried(), largeBytes, 0, func(*Request) {})
	c := dialSlowly(t, s)
	c.send(get("/a"))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	for range steps {
		time.Sleep(hurriedTimeout / 2)
		if _, err := io.CopyN(io.Discard, resp.Body, step); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != largeBytes-steps*step {
		t.Errorf("%d more bytes, %v", n, err)
	}
}

// A caller that reads nothing must be waited for until its deadline.
func TestCallerThatReadsLateGetsTheAnswerUntilItsDeadline(t *testing.T) {
	t.Parallel()
	s := startWith(t, hurried(), largeBytes, time.Minute, func(*Request) {})
	c := dialSlowly(t, s)
	c.send(get("/a"))
	time.Sleep(3 * hurriedTimeout)
	c.wantWhole(largeBytes)
}

// A caller that reads nothing must not be waited for without end.
func TestCallerThatReadsNothingIsCut(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{}, 1)
	s := startWith(t, hurried(), largeBytes, 0, func(*Request) { begun <- struct{}{} })
	c := dialSlowly(t, s)
	c.send(get("/a"))
	<-begun
	waitUntil(func() bool { return s.InFlight() == 0 && s.open.Load() == 0 })
	if n, err := io.Copy(io.Discard, c.Conn); n >= largeBytes {
		t.Errorf("%d bytes, %v", n, err)
	}
}
