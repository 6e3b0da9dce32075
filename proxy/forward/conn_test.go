package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// A target answers one request twice, whole or in part, at once or later. The
// second answer must never reach the next caller: the connection is given up.
func TestStrayAnswerEndsTheConnection(t *testing.T) {
	cases := map[string]string{
		"two answers in one read":       answerWith("one") + answerWith("two"),
		"half an answer more":           answerWith("one") + "HTTP/1.1 2",
		"one byte more than the length": answerWith("one") + "\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			c := connect(t, answers(text))
			a, err := c.Exchange(background, get("/stock"))
			if err != nil || string(a.Body) != "one" {
				t.Fatalf("%v %v", a, err)
			}
			if c.Reusable() || c.IsIdle() {
				t.Fatal("the connection counts as clean")
			}
		})
	}
}

// As before, but the second answer comes only after the first was read.
func TestLateStrayAnswerIsSeenBeforeReuse(t *testing.T) {
	more, sent := make(chan struct{}), make(chan struct{})
	c := connect(t, func(p *peer) {
		p.next()
		p.say(answerWith("one"))
		<-more
		p.say(answerWith("two"))
		close(sent)
		p.next()
	})
	if _, err := c.Exchange(background, get("/stock")); err != nil || !c.Reusable() || !c.IsIdle() {
		t.Fatalf("error %v", err)
	}
	close(more)
	<-sent
	waitNotQuiet(c)
	if c.IsIdle() {
		t.Fatal("the connection counts as quiet")
	}
}

// waitNotQuiet gives the bytes time to cross the loopback device.
func waitNotQuiet(c *Conn) {
	for i := 0; i < 1_000_000 && c.IsIdle(); i++ {
	}
}

// A target sends fields without an end. The answer must not fill the memory.
func TestEndlessHeadIsCut(t *testing.T) {
	c := connect(t, func(p *peer) {
		p.next()
		p.say("HTTP/1.1 200 OK\r\n")
		for range 1 << 10 {
			if _, err := p.Write([]byte("A: " + strings.Repeat("a", 4<<10) + "\r\n")); err != nil {
				return
			}
		}
		p.next()
	})
	_, err := c.Exchange(background, get("/stock"))
	wantError(t, err, result.AnswerTooLarge)
}

// The target repeats the number of an earlier exchange: its answer is a late
// one and must not be taken for the awaited one.
func TestAnswerOfAnotherExchangeIsRefused(t *testing.T) {
	c := connect(t, func(p *peer) {
		first := p.next().Header.Get(result.HeaderExchange)
		p.say("HTTP/1.1 200 OK\r\nYucca-Exchange: " + first + "\r\nContent-Length: 3\r\n\r\none")
		p.next()
		p.say("HTTP/1.1 200 OK\r\nYucca-Exchange: " + first + "\r\nContent-Length: 3\r\n\r\none")
	})
	if _, err := c.Exchange(background, get("/stock")); err != nil {
		t.Fatal(err)
	}
	_, err := c.Exchange(background, get("/stock"))
	wantError(t, err, result.AnswerTruncated)
	if c.Reusable() {
		t.Fatal("the connection counts as clean")
	}
}

// The caller's deadline passes while the target works; the answer comes later.
// It must not be read by the next exchange.
func TestDeadlineAfterSending(t *testing.T) {
	c := connect(t, func(p *peer) { p.next(); p.next() })
	r := post("order")
	r.Deadline = time.Now().Add(30 * time.Millisecond)
	_, err := c.Exchange(background, r)
	wantError(t, err, result.DeadlineAfterSend)
	if c.Reusable() {
		t.Fatal("the connection counts as clean")
	}
	_, err = c.Exchange(background, get("/stock"))
	wantError(t, err, result.ConnectFailed)
}

// The caller goes while the target works. The target must see the connection
// close, or it works on for nobody.
func TestCancellationReachesTheTarget(t *testing.T) {
	ctx, cancel := context.WithCancel(background)
	saw := make(chan bool, 1)
	c := NewConn(open(t, func(p *peer) {
		p.next()
		cancel()
		saw <- p.next() == nil
	}))
	_, err := c.Exchange(ctx, post("order"))
	wantError(t, err, result.CallerGone)
	c.Close()
	if !<-saw {
		t.Fatal("the target got another request")
	}
}

// brokenConn takes some bytes of a request and then fails.
type brokenConn struct {
	net.Conn
	takes int
}

func (b *brokenConn) Write(p []byte) (int, error) {
	n := min(b.takes, len(p))
	b.takes -= n
	if n < len(p) {
		return n, errors.New("broken")
	}
	return n, nil
}

// The connection breaks while the request is written. Only if the system took
// not one byte is it certain that the order did not run.
func TestBrokenWrite(t *testing.T) {
	for _, c := range []struct {
		takes int
		want  result.Code
	}{{0, result.ConnectFailed}, {1, result.ConnectionLost}, {60, result.ConnectionLost}} {
		for _, body := range []string{"order", strings.Repeat("a", 1<<20)} {
			conn := open(t, func(*peer) {})
			_, err := NewConn(&brokenConn{Conn: conn, takes: c.takes}).Exchange(background, post(body))
			wantError(t, err, c.want)
		}
	}
}

func TestPassedDeadlineIsNotSent(t *testing.T) {
	c := connect(t, func(p *peer) { p.next() })
	r := post("order")
	r.Deadline = time.Now().Add(-time.Second)
	_, err := c.Exchange(background, r)
	wantError(t, err, result.DeadlineBeforeSend)
	if !err.(*Error).NotRun() {
		t.Fatal("not told that it did not run")
	}
}

// Informational answers come before the final one and are not it.
func TestInformationalAnswersAreSkipped(t *testing.T) {
	c := connect(t, func(p *peer) {
		p.next()
		p.say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + answerWith("one"))
		p.next()
		p.say(answerWith("two"))
	})
	for _, want := range []string{"one", "two"} {
		a, err := c.Exchange(background, get("/stock"))
		if err != nil || string(a.Body) != want {
			t.Fatalf("%v %v, want %s", a, err, want)
		}
	}
}

// A target refuses an upload at its head and stops reading. The refusal must be
// seen at once, or an upload that could go elsewhere ends in "unknown".
func TestEarlyAnswerToALongUpload(t *testing.T) {
	shed := "HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	seen := make(chan struct{})
	c := connect(t, func(p *peer) {
		if _, err := http.ReadRequest(p.reader); err == nil {
			p.say(shed)
		}
		<-seen
	})
	a, err := c.Exchange(background, post(strings.Repeat("a", 32<<20)))
	close(seen)
	if err != nil || !a.Shed {
		t.Fatalf("%v %v", a, err)
	}
	if c.Reusable() {
		t.Fatal("the connection counts as clean")
	}
}

func TestLongUploadIsSentWhole(t *testing.T) {
	c := connect(t, func(p *peer) {
		for r := p.next(); r != nil; r = p.next() {
			p.say(answerWith("one"))
		}
	})
	for range 2 {
		a, err := c.Exchange(background, post(strings.Repeat("a", 4<<20)))
		if err != nil || string(a.Body) != "one" || !c.Reusable() {
			t.Fatalf("%v %v", a, err)
		}
	}
}

// Fields that concern one connection, and fields a caller uses to pass as the
// entry VM, do not reach the target.
func TestHopByHopFieldsAreNotForwarded(t *testing.T) {
	seen := make(chan *http.Request, 1)
	c := connect(t, func(p *peer) {
		seen <- p.next()
		p.say(answerWith("one"))
	})
	r := post("order")
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

// A caller puts line ends and blanks into names and values of fields. The target
// must see one request with the fields of one line each, and no second order.
func TestFieldsStayOnTheirLine(t *testing.T) {
	const second = "x\r\nX-Hidden: 1\r\n\r\nPOST /orders HTTP/1.1\r\nHost: target\r\n\r\n"
	seen := make(chan *http.Request, 2)
	c := NewConn(open(t, func(p *peer) {
		seen <- p.next()
		p.say(answerWith("one"))
		seen <- p.next()
	}))
	r := get("/stock")
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
	// The value, the odd but permitted name, and the entry VM's own two fields.
	if len(got.Header) != 4 || got.Header["X-Kept!#$%&'*+.^_`|~"] == nil {
		t.Fatalf("fields %q", got.Header)
	}
	c.Close()
	if hidden := <-seen; hidden != nil {
		t.Fatalf("a second request %s %s", hidden.Method, hidden.URL)
	}
}

// fullMemory has no bytes left.
type fullMemory struct{ balance int64 }

func (m *fullMemory) Take(int64) bool { return false }
func (m *fullMemory) Give(n int64)    { m.balance += n }

func exchangeWithoutMemory(t *testing.T, answer string) (*Response, error) {
	t.Helper()
	c := connect(t, answers(answer))
	r := get("/stock")
	memory := &fullMemory{}
	r.Memory = memory
	a, err := c.Exchange(background, r)
	if memory.balance != 0 {
		t.Fatalf("%d bytes given back that were not taken", memory.balance)
	}
	return a, err
}

// The node's memory is full of uploads. A large answer is not read into it, and
// the short confirmation of an order still is.
func TestAnswersWithoutMemory(t *testing.T) {
	for _, head := range []string{"Content-Length: 16385\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4001\r\n"} {
		_, err := exchangeWithoutMemory(t, "HTTP/1.1 200 OK\r\n"+head+strings.Repeat("a", 16385))
		wantError(t, err, result.AnswerTooLarge)
	}
	for _, rest := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		a, err := exchangeWithoutMemory(t, "HTTP/1.1 200 OK\r\n"+rest)
		if err != nil || string(a.Body) != "ok" || a.ReservedBytes != 0 {
			t.Fatalf("%v %v", a, err)
		}
	}
}

// stalled is a body whose second half never comes.
type stalled struct{ half []byte }

func (s stalled) At(_ context.Context, offset int64) ([]byte, error) {
	if offset > 0 {
		return nil, errors.New("stalled")
	}
	return s.half, nil
}

// A caller stops sending in the middle of its upload and stays connected. The
// request ends with an unknown outcome, as half of it was sent; the target sees
// its connection close, not a whole body, and it is not used again.
func TestBodyThatStallsEndsTheExchange(t *testing.T) {
	saw := make(chan error, 1)
	c := connect(t, func(p *peer) {
		r, err := http.ReadRequest(p.reader)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		saw <- err
	})
	r := post("")
	r.Deadline = time.Now().Add(time.Hour)
	r.BodySource, r.Length = stalled{half: make([]byte, maxBufferedBodyBytes)}, 2*maxBufferedBodyBytes
	_, err := c.Exchange(background, r)
	wantError(t, err, result.DeadlineAfterSend)
	if c.Reusable() {
		t.Fatal("the connection counts as clean")
	}
	c.Close()
	if err := <-saw; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("the target read the body with %v", err)
	}
}
