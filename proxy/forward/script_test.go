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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is the target's side of a connection.
type peer struct {
	net.Conn
	reader *bufio.Reader
}

func (p *peer) next() *http.Request {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

func (p *peer) say(text string) { _, _ = io.WriteString(p.Conn, text) }

// open returns a connection to a target that follows the script, once.
func open(t *testing.T, script func(p *peer)) net.Conn {
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
		script(&peer{Conn: c, reader: bufio.NewReader(c)})
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

// connect returns a connection to a target that follows the script; it is
// closed at the end of the test.
func connect(t *testing.T, script func(p *peer)) *Conn {
	t.Helper()
	c := NewConn(open(t, script))
	t.Cleanup(c.Close)
	return c
}

// answers returns a script that gives an answer to each request, and then reads
// on until the connection ends.
func answers(texts ...string) func(p *peer) {
	return func(p *peer) {
		for _, text := range texts {
			p.next()
			p.say(text)
		}
		p.next()
	}
}

func get(path string) *Request {
	return &Request{
		Method: http.MethodGet, URI: path, Host: "target", Header: http.Header{},
		Deadline: time.Now().Add(5 * time.Second), MaxResponseBytes: 1 << 20,
	}
}

func post(body string) *Request {
	r := get("/orders")
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

func answerWith(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

var background = context.Background()
