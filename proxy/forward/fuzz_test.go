package forward

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// replay is a connection whose other side has already said everything.
type replay struct {
	net.Conn
	text io.Reader
	read int
}

func (r *replay) Read(p []byte) (int, error) {
	n, err := r.text.Read(p)
	r.read += n
	return n, err
}
func (*replay) Write(p []byte) (int, error)      { return len(p), nil }
func (*replay) Close() error                     { return nil }
func (*replay) SetDeadline(time.Time) error      { return nil }
func (*replay) SetReadDeadline(time.Time) error  { return nil }
func (*replay) SetWriteDeadline(time.Time) error { return nil }

// exchangeWith returns what an exchange makes of a target's bytes, and how many
// of them it used.
func exchangeWith(method string, text []byte) (a *Response, used int, err error) {
	conn := &replay{text: bytes.NewReader(text)}
	c := NewConn(conn)
	r := get("/stock")
	r.Method = method
	r.MaxResponseBytes = 1 << 10
	a, err = c.Exchange(background, r)
	return a, conn.read - c.reader.Buffered(), err
}

// FuzzAnswer feeds bytes of a target. An answer is within its limit and is not
// passed off as whole when its last byte is missing; anything else is "unknown",
// as the request was sent.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		answerWith("one"),
		answerWith("one") + answerWith("two"),
		"HTTP/1.1 100 Continue\r\n\r\n" + answerWith("one"),
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3;e=1\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nunmarked",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
		"HTTP/9.9 999 \r\n\r\n",
		"",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, head bool) {
		method := "GET"
		if head {
			method = "HEAD"
		}
		a, used, err := exchangeWith(method, text)
		if err != nil {
			if outcome := result.InfoOf(err.(*Error).Code).Outcome; outcome != result.Unknown {
				t.Fatalf("outcome %s after the request was sent: %v", outcome, err)
			}
			return
		}
		if len(a.Body) > 1<<10 || a.Status < 200 || a.Status > 999 {
			t.Fatalf("answer %d with %d bytes", a.Status, len(a.Body))
		}
		if cut, _, err := exchangeWith(method, text[:used-1]); err == nil {
			t.Fatalf("%q passed off as whole without its last byte: %q", text[:used], cut.Body)
		}
	})
}
