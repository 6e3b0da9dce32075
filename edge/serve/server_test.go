package serve

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

var testLimits = Limits{HeaderBytes: 8 << 10, BodyBytes: 200 << 10, HeaderTime: 5 * time.Second, IdleTime: 5 * time.Second}

func start(t *testing.T, h Handler) *Server {
	t.Helper()
	l := logrus.New()
	l.SetOutput(io.Discard)
	s, err := Start(Options{
		Address: "127.0.0.1:0", Handler: h, Limits: func() Limits { return testLimits }, Logger: logrus.NewEntry(l),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// caller is one connection to the server.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, s *Server) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &caller{t: t, Conn: c, reader: bufio.NewReader(c)}
}

func (c *caller) say(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) hear() (status int, body string, last bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(text), resp.Close
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// A caller sends three requests ahead, and the first one takes longest. All are worked
// on at once, and the answers come in the order of the requests.
func TestRequestsSentAheadAreWorkedOnTogether(t *testing.T) {
	var started sync.WaitGroup
	started.Add(3)
	s := start(t, func(_ context.Context, r *Request) *Response {
		started.Done()
		started.Wait()
		return PlainText(http.StatusOK, r.Path)
	})
	c := dial(t, s)
	c.say(get("/1") + get("/2") + get("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		if status, body, _ := c.hear(); status != http.StatusOK || body != want {
			t.Fatalf("%d %q, want %q", status, body, want)
		}
	}
}

// A caller leaves while its request is worked on. The handler must learn it at once, or
// a target works for nobody.
func TestCallerThatLeavesIsSeen(t *testing.T) {
	left, begun := make(chan struct{}), make(chan struct{})
	s := start(t, func(ctx context.Context, _ *Request) *Response {
		close(begun)
		<-ctx.Done()
		close(left)
		return nil
	})
	c := dial(t, s)
	c.say(get("/"))
	<-begun
	c.Close()
	<-left
}

func TestBodies(t *testing.T) {
	s := start(t, func(_ context.Context, r *Request) *Response {
		return PlainText(http.StatusOK, fmt.Sprintf("%s %s %d", r.Method, r.Target, len(r.Body)))
	})
	c := dial(t, s)
	body := strings.Repeat("x", 100<<10)
	c.say(fmt.Sprintf("POST /a?b=%%20 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if _, got, _ := c.hear(); got != fmt.Sprintf("POST /a?b=%%20 %d", len(body)) {
		t.Errorf("known length: %q", got)
	}
	c.say("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n")
	if _, got, _ := c.hear(); got != "POST /c 8" {
		t.Errorf("chunks: %q", got)
	}
	c.say("PUT /e HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	if line, err := c.reader.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	_, _ = c.reader.ReadString('\n')
	c.say("ok")
	if _, got, _ := c.hear(); got != "PUT /e 2" {
		t.Errorf("after an invitation: %q", got)
	}
}

// What is not HTTP, or over a limit, is refused with the reason, and no handler sees it.
func TestRefusals(t *testing.T) {
	s := start(t, func(context.Context, *Request) *Response {
		t.Error("a handler ran")
		return nil
	})
	for what, c := range map[string]struct {
		text string
		want int
	}{
		"no HTTP":          {"hello\r\n\r\n", 400},
		"two lengths":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"bad chunks":       {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"long header":      {"GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 10<<10) + "\r\n\r\n", 431},
		"long body":        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n", 413},
		"long chunked":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n" + strings.Repeat("x", 0x40000) + "\r\n0\r\n\r\n", 413},
		"odd expectation":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: gold\r\n\r\n", 417},
		"unknown encoding": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gold\r\n\r\n", 400},
	} {
		t.Run(what, func(t *testing.T) {
			conn := dial(t, s)
			go func() { _, _ = io.WriteString(conn.Conn, c.text) }()
			if status, _, last := conn.hear(); status != c.want || !last {
				t.Errorf("%d, last %v, want %d", status, last, c.want)
			}
		})
	}
}

// The head is longer than the connection's buffer but within the limit.
func TestLongHeadWithinTheLimit(t *testing.T) {
	s := start(t, func(_ context.Context, r *Request) *Response {
		return PlainText(http.StatusOK, fmt.Sprint(len(r.Header.Get("X")), " ", len(r.Body)))
	})
	c := dial(t, s)
	c.say("POST / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 7<<10) + "\r\nContent-Length: 3\r\n\r\nabc" + get("/"))
	if status, body, _ := c.hear(); status != 200 || body != "7168 3" {
		t.Fatalf("%d %q", status, body)
	}
	if status, _, _ := c.hear(); status != 200 {
		t.Fatalf("%d for the request behind it", status)
	}
}

// The VM stops as planned. A caller with requests under way gets all answers, the last
// one with the end of the connection; what it sends after that is not worked on.
func TestPartingAnswersAllThatWasRead(t *testing.T) {
	release := make(chan struct{})
	var worked sync.Map
	s := start(t, func(_ context.Context, r *Request) *Response {
		worked.Store(r.Path, true)
		<-release
		return PlainText(http.StatusOK, r.Path)
	})
	c := dial(t, s)
	c.say(get("/1") + get("/2"))
	for s.InFlight() < 2 {
		runtime.Gosched()
	}
	s.DisableKeepAlives()
	s.CloseIdle()
	close(release)
	if _, body, last := c.hear(); body != "/1" || last {
		t.Fatalf("%q, last %v", body, last)
	}
	if _, body, last := c.hear(); body != "/2" || !last {
		t.Fatalf("%q, last %v", body, last)
	}
	_, _ = io.WriteString(c.Conn, get("/3"))
	if rest, _ := io.ReadAll(c.reader); len(rest) > 0 {
		t.Errorf("after the last answer: %q", rest)
	}
	if _, ok := worked.Load("/3"); ok {
		t.Error("a request was worked on whose answer cannot be given")
	}
}

// A caller asks for the end of the connection with its request.
func TestCallerEndsTheConnection(t *testing.T) {
	s := start(t, func(context.Context, *Request) *Response { return PlainText(http.StatusOK, "done") })
	c := dial(t, s)
	c.say("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	if _, body, last := c.hear(); body != "done" || !last {
		t.Fatalf("%q, last %v", body, last)
	}
	if rest, err := io.ReadAll(c.reader); err != nil || len(rest) > 0 {
		t.Fatalf("%q, %v", rest, err)
	}
}

// Fields that concern one connection only are not passed on, nor a length that is not
// the body's.
func TestAnswerFields(t *testing.T) {
	var b bytes.Buffer
	a := &Response{Status: 200, Body: []byte("abc"), Header: http.Header{
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=3"}, "Content-Length": {"99"},
		"Transfer-Encoding": {"chunked"}, "X-Kept": {"2", "3"},
	}}
	a.encode(&b, false)
	text := b.String()
	for _, bad := range []string{"X-Hop", "Keep-Alive", "99", "chunked", "Connection"} {
		if strings.Contains(text, bad) {
			t.Errorf("%s in %q", bad, text)
		}
	}
	if !strings.Contains(text, "X-Kept: 2\r\nX-Kept: 3\r\n") || !strings.Contains(text, "Content-Length: 3\r\n") {
		t.Errorf("%q", text)
	}
}

// Guards against a request that ends each VM that works on it, one after the other: a fault in
// the code that handles it must not end the process.
func TestHandlerThatPanicsEndsOnlyItsRequest(t *testing.T) {
	s := start(t, func(_ context.Context, r *Request) *Response {
		if r.Path == "/bad" {
			panic("no such thing")
		}
		return PlainText(http.StatusOK, "fine")
	})
	c := dial(t, s)
	c.say(get("/bad") + get("/good"))
	if status, body, _ := c.hear(); status != http.StatusInternalServerError || body != "internal\n" {
		t.Errorf("%d %q for the request that panics", status, body)
	}
	if status, body, _ := c.hear(); status != http.StatusOK || body != "fine" {
		t.Errorf("%d %q for the request behind it", status, body)
	}
}
