package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// Data after the response, such as a duplicate response, must not reach the next
// exchange.
func TestUnsolicitedResponseMakesConnNotReusable(t *testing.T) {
	cases := map[string]string{
		"duplicate response":           okResponse("one") + okResponse("two"),
		"partial second response":      okResponse("one") + "HTTP/1.1 2",
		"one byte past Content-Length": okResponse("one") + "\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestConn(t, respondWith(text))
			resp, err := c.Exchange(background, newGet("/stock"))
			if err != nil || string(resp.Body) != "one" {
				t.Fatalf("%v %v", resp, err)
			}
			if c.Reusable() || c.IsIdle() {
				t.Fatal("the connection is reusable")
			}
		})
	}
}

// A duplicate response that arrives after the exchange must be detected.
func TestLateUnsolicitedResponseIsDetectedBeforeReuse(t *testing.T) {
	sendSecond, sent := make(chan struct{}), make(chan struct{})
	c := newTestConn(t, func(p *scriptedTarget) {
		p.readRequest()
		p.write(okResponse("one"))
		<-sendSecond
		p.write(okResponse("two"))
		close(sent)
		p.readRequest()
	})
	if _, err := c.Exchange(background, newGet("/stock")); err != nil || !c.Reusable() || !c.IsIdle() {
		t.Fatalf("error %v", err)
	}
	close(sendSecond)
	<-sent
	waitNotIdle(c)
	if c.IsIdle() {
		t.Fatal("the connection is reported idle")
	}
}

// waitNotIdle polls until the written bytes have arrived.
func waitNotIdle(c *Conn) {
	for i := 0; i < 1_000_000 && c.IsIdle(); i++ {
	}
}

// An endless response header must not exhaust memory.
func TestResponseHeaderSizeIsLimited(t *testing.T) {
	c := newTestConn(t, func(p *scriptedTarget) {
		p.readRequest()
		p.write("HTTP/1.1 200 OK\r\n")
		for range 1 << 10 {
			if _, err := p.Write([]byte("A: " + strings.Repeat("a", 4<<10) + "\r\n")); err != nil {
				return
			}
		}
		p.readRequest()
	})
	_, err := c.Exchange(background, newGet("/stock"))
	wantError(t, err, result.AnswerTooLarge)
}

// A response with the ID of an earlier exchange must not be accepted.
func TestResponseOfAnotherExchangeIsRejected(t *testing.T) {
	c := newTestConn(t, func(p *scriptedTarget) {
		first := p.readRequest().Header.Get(result.HeaderExchange)
		p.write("HTTP/1.1 200 OK\r\nYucca-Exchange: " + first + "\r\nContent-Length: 3\r\n\r\none")
		p.readRequest()
		p.write("HTTP/1.1 200 OK\r\nYucca-Exchange: " + first + "\r\nContent-Length: 3\r\n\r\none")
	})
	if _, err := c.Exchange(background, newGet("/stock")); err != nil {
		t.Fatal(err)
	}
	_, err := c.Exchange(background, newGet("/stock"))
	wantError(t, err, result.AnswerTruncated)
	if c.Reusable() {
		t.Fatal("the connection is reusable")
	}
}

// After a timeout, a late response must not be read by the next exchange.
func TestDeadlineAfterSend(t *testing.T) {
	c := newTestConn(t, func(p *scriptedTarget) { p.readRequest(); p.readRequest() })
	r := newPost("order")
	r.Deadline = time.Now().Add(30 * time.Millisecond)
	_, err := c.Exchange(background, r)
	wantError(t, err, result.DeadlineAfterSend)
	if c.Reusable() {
		t.Fatal("the connection is reusable")
	}
	_, err = c.Exchange(background, newGet("/stock"))
	wantError(t, err, result.ConnectFailed)
}

// Cancellation must end the exchange, so that the target sees the connection
// close.
func TestCancellationClosesTargetConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(background)
	observed := make(chan bool, 1)
	c := NewConn(dialTarget(t, func(p *scriptedTarget) {
		p.readRequest()
		cancel()
		observed <- p.readRequest() == nil
	}))
	_, err := c.Exchange(ctx, newPost("order"))
	wantError(t, err, result.CallerGone)
	c.Close()
	if !<-observed {
		t.Fatal("the target received another request")
	}
}

// brokenConn fails after writing a number of bytes.
type brokenConn struct {
	net.Conn
	remaining int
}

func (b *brokenConn) Write(p []byte) (int, error) {
	n := min(b.remaining, len(p))
	b.remaining -= n
	if n < len(p) {
		return n, errors.New("broken")
	}
	return n, nil
}

// A failed write counts as not run only if no byte was written.
func TestPartialWriteOutcome(t *testing.T) {
	for _, c := range []struct {
		takes int
		want  result.Code
	}{{0, result.ConnectFailed}, {1, result.ConnectionLost}, {60, result.ConnectionLost}} {
		for _, body := range []string{"order", strings.Repeat("a", 1<<20)} {
			conn := dialTarget(t, func(*scriptedTarget) {})
			_, err := NewConn(&brokenConn{Conn: conn, remaining: c.takes}).Exchange(background, newPost(body))
			wantError(t, err, c.want)
		}
	}
}

func TestExpiredDeadlineIsNotSent(t *testing.T) {
	c := newTestConn(t, func(p *scriptedTarget) { p.readRequest() })
	r := newPost("order")
	r.Deadline = time.Now().Add(-time.Second)
	_, err := c.Exchange(background, r)
	wantError(t, err, result.DeadlineBeforeSend)
	if !err.(*Error).NotRun() {
		t.Fatal("NotRun is false for a request that was not sent")
	}
}

// 1xx responses precede the final response and must be skipped.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	c := newTestConn(t, func(p *scriptedTarget) {
		p.readRequest()
		p.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + okResponse("one"))
		p.readRequest()
		p.write(okResponse("two"))
	})
	for _, want := range []string{"one", "two"} {
		resp, err := c.Exchange(background, newGet("/stock"))
		if err != nil || string(resp.Body) != want {
			t.Fatalf("%v %v, want %s", resp, err, want)
		}
	}
}

// A target may reject an upload before reading the body. The response must be
// returned at once rather than lost in a blocked write.
func TestEarlyResponseToLargeUpload(t *testing.T) {
	shed := "HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	seen := make(chan struct{})
	c := newTestConn(t, func(p *scriptedTarget) {
		if _, err := p.readHead(); err == nil {
			p.write(shed)
		}
		<-seen
	})
	resp, err := c.Exchange(background, newPost(strings.Repeat("a", 32<<20)))
	close(seen)
	if err != nil || !resp.Shed {
		t.Fatalf("%v %v", resp, err)
	}
	if c.Reusable() {
		t.Fatal("the connection is reusable")
	}
}

func TestLargeUploadIsSentCompletely(t *testing.T) {
	c := newTestConn(t, func(p *scriptedTarget) {
		for r := p.readRequest(); r != nil; r = p.readRequest() {
			p.write(okResponse("one"))
		}
	})
	for range 2 {
		resp, err := c.Exchange(background, newPost(strings.Repeat("a", 4<<20)))
		if err != nil || string(resp.Body) != "one" || !c.Reusable() {
			t.Fatalf("%v %v", resp, err)
		}
	}
}

// Hop-by-hop fields and client-supplied values of the proxy's own fields must
// not reach the target.
func TestHopByHopFieldsAreNotForwarded(t *testing.T) {
	seen := make(chan *http.Request, 1)
	c := newTestConn(t, func(p *scriptedTarget) {
		seen <- p.readRequest()
		p.write(okResponse("one"))
	})
	r := newPost("order")
	r.Header = http.Header{
		"Connection":          {"X-Private, close"},
		"X-Private":           {"1"},
		"X-Kept":              {"1"},
		"Transfer-Encoding":   {"chunked"},
		"Content-Length":      {"99"},
		"Host":                {"elsewhere"},
		result.HeaderExchange: {"9"},
	}
	if _, err := c.Exchange(background, r); err != nil {
		t.Fatal(err)
	}
	got := <-seen
	if got.Header.Get("X-Private") != "" || got.Header.Get("X-Kept") != "1" || got.ContentLength != 5 ||
		got.Host != "target" || got.Header.Get(result.HeaderExchange) == "9" {
		t.Fatalf("%+v", got)
	}
}

// Line breaks in field names and values must not smuggle a field or a second
// request.
func TestLineBreaksInFieldsAreSanitized(t *testing.T) {
	const second = "x\r\nX-Hidden: 1\r\n\r\nPOST /orders HTTP/1.1\r\nHost: target\r\n\r\n"
	seen := make(chan *http.Request, 2)
	c := NewConn(dialTarget(t, func(p *scriptedTarget) {
		seen <- p.readRequest()
		p.write(okResponse("one"))
		seen <- p.readRequest()
	}))
	r := newGet("/stock")
	r.Header = http.Header{
		"X-Value":              {second, "  trimmed\t"},
		second:                 {"1"},
		"X-Blank In-Name":      {"1"},
		"X-Colon:":             {"1"},
		"":                     {"1"},
		"X-Nul\x00":            {"1"},
		"X-Kept!#$%&'*+.^_`|~": {"1"},
	}
	if _, err := c.Exchange(background, r); err != nil {
		t.Fatal(err)
	}
	got := <-seen
	want := strings.NewReplacer("\r", " ", "\n", " ").Replace(strings.TrimSpace(second))
	if values := got.Header["X-Value"]; len(values) != 2 || values[0] != want || values[1] != "trimmed" {
		t.Fatalf("values %q", values)
	}
	// X-Value, the valid unusual name, and the two fields that the proxy adds.
	if len(got.Header) != 4 || got.Header["X-Kept!#$%&'*+.^_`|~"] == nil {
		t.Fatalf("fields %q", got.Header)
	}
	c.Close()
	if hidden := <-seen; hidden != nil {
		t.Fatalf("smuggled request %s %s", hidden.Method, hidden.URL)
	}
}

// fullMemory refuses every reservation.
type fullMemory struct{ balance int64 }

func (m *fullMemory) Take(int64) bool { return false }
func (m *fullMemory) Give(n int64)    { m.balance += n }

func exchangeWithoutMemory(t *testing.T, response string) (*Response, error) {
	t.Helper()
	c := newTestConn(t, respondWith(response))
	r := newGet("/stock")
	memory := &fullMemory{}
	r.Memory = memory
	resp, err := c.Exchange(background, r)
	if memory.balance != 0 {
		t.Fatalf("%d bytes released that were not reserved", memory.balance)
	}
	return resp, err
}

// Without free memory a large response is rejected and a short one still
// accepted.
func TestResponsesWithoutMemory(t *testing.T) {
	for _, header := range []string{"Content-Length: 16385\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4001\r\n"} {
		_, err := exchangeWithoutMemory(t, "HTTP/1.1 200 OK\r\n"+header+strings.Repeat("a", 16385))
		wantError(t, err, result.AnswerTooLarge)
	}
	for _, rest := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		resp, err := exchangeWithoutMemory(t, "HTTP/1.1 200 OK\r\n"+rest)
		if err != nil || string(resp.Body) != "ok" || resp.ReservedBytes != 0 {
			t.Fatalf("%v %v", resp, err)
		}
	}
}

// stalledBody fails after its first half.
type stalledBody struct{ half []byte }

func (b stalledBody) At(_ context.Context, offset int64) ([]byte, error) {
	if offset > 0 {
		return nil, errors.New("stalled")
	}
	return b.half, nil
}

// If an upload stalls, the target must see its connection reset rather than wait
// for the rest, and the connection must not be reused.
func TestStalledBodyAbortsExchange(t *testing.T) {
	observed := make(chan error, 1)
	c := newTestConn(t, func(p *scriptedTarget) {
		r, err := p.readHead()
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		observed <- err
	})
	r := newPost("")
	r.Deadline = time.Now().Add(time.Hour)
	r.BodySource, r.Length = stalledBody{half: make([]byte, maxBufferedBodyBytes)}, 2*maxBufferedBodyBytes
	_, err := c.Exchange(background, r)
	wantError(t, err, result.DeadlineAfterSend)
	if c.Reusable() {
		t.Fatal("the connection is reusable")
	}
	c.Close()
	if err := <-observed; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the target read the body with %v", err)
	}
}

// A request that is given up must not reach its target later, when the network delivers what it has held up: the
// connection must be reset. One whose exchange has ended is closed in order.
func TestGivenUpRequestResetsTheConnection(t *testing.T) {
	cancelled, cancel := context.WithCancel(background)
	defer cancel()
	for name, c := range map[string]struct {
		ctx     context.Context
		answers bool
		want    error
	}{
		"deadline": {background, false, syscall.ECONNRESET},
		"caller":   {cancelled, false, syscall.ECONNRESET},
		"answered": {background, true, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, ended := make(chan struct{}), make(chan error, 1)
			conn := NewConn(dialTarget(t, func(p *scriptedTarget) {
				p.readRequest()
				close(arrived)
				if c.answers {
					p.write(okResponse("one"))
				}
				_, err := p.reader.ReadByte()
				ended <- err
			}))
			r := newPost("order")
			r.Deadline = time.Now().Add(time.Minute)
			if name == "deadline" {
				r.Deadline = time.Now().Add(100 * time.Millisecond)
			}
			if name == "caller" {
				go func() { <-arrived; cancel() }()
			}
			_, _ = conn.Exchange(c.ctx, r)
			<-arrived
			conn.Close()
			if err := <-ended; !errors.Is(err, c.want) {
				t.Errorf("the target's connection ended with %v, want %v", err, c.want)
			}
		})
	}
}
