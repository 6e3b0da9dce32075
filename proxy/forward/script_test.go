package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward/forwardtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedTarget is the target's end of a connection.
type scriptedTarget struct {
	net.Conn
	reader *bufio.Reader
	// exchange is that of the last request.
	exchange string
}

// readHead reads the head of a request.
func (p *scriptedTarget) readHead() (*http.Request, error) {
	r, err := http.ReadRequest(p.reader)
	if err == nil {
		p.exchange = r.Header.Get(result.HeaderExchange)
	}
	return r, err
}

func (p *scriptedTarget) readRequest() *http.Request {
	r, err := p.readHead()
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

// write names the last request in answers.
func (p *scriptedTarget) write(text string) {
	_, _ = io.WriteString(p.Conn, forwardtest.Name(text, p.exchange))
}

// dialTarget connects to a target that runs the script on one connection.
func dialTarget(t *testing.T, script func(p *scriptedTarget)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var done sync.WaitGroup
	done.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		script(&scriptedTarget{Conn: c, reader: bufio.NewReader(c)})
	})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		l.Close()
		done.Wait()
	})
	return c
}

// newTestConn returns a Conn to a scripted target, closed by test cleanup.
func newTestConn(t *testing.T, script func(p *scriptedTarget)) *Conn {
	t.Helper()
	c := NewConn(dialTarget(t, script))
	t.Cleanup(c.Close)
	return c
}

// respondWith returns a script that writes one text per request, then reads
// another request or the end of the connection.
func respondWith(texts ...string) func(p *scriptedTarget) {
	return func(p *scriptedTarget) {
		for _, text := range texts {
			p.readRequest()
			p.write(text)
		}
		p.readRequest()
	}
}

func newGet(path string) *Request {
	return &Request{
		Method: http.MethodGet, URI: path, Host: "target", Header: http.Header{},
		Deadline: time.Now().Add(5 * time.Second), MaxResponseBytes: 1 << 20,
	}
}

func newPost(body string) *Request {
	r := newGet("/orders")
	r.Method = http.MethodPost
	r.Body = [][]byte{[]byte(body)}
	r.Length = int64(len(body))
	return r
}

func wantError(t *testing.T, err error, want result.Code) {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) || failure.Code != want {
		t.Fatalf("error %v, want %s", err, want)
	}
}

func okResponse(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

var background = context.Background()
