package forward

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward/forwardtest"
)

// replayConn reads from a fixed text and discards writes.
// The answers in the text name the exchange of the first request that is written.
type replayConn struct {
	net.Conn
	text []byte
	from io.Reader
	// cut bytes are missing at the end of the text.
	cut, read int
}

func (r *replayConn) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.read += n
	return n, err
}
func (r *replayConn) Write(p []byte) (int, error) {
	if r.from == nil {
		_, rest, _ := bytes.Cut(p, []byte(result.HeaderExchange+": "))
		exchange, _, _ := bytes.Cut(rest, []byte("\r\n"))
		named := forwardtest.Name(string(r.text), string(exchange))
		r.text = []byte(named[:len(named)-r.cut])
		r.from = bytes.NewReader(r.text)
	}
	return len(p), nil
}
func (*replayConn) Close() error                     { return nil }
func (*replayConn) SetDeadline(time.Time) error      { return nil }
func (*replayConn) SetReadDeadline(time.Time) error  { return nil }
func (*replayConn) SetWriteDeadline(time.Time) error { return nil }

// exchangeWith runs an exchange against the given response bytes without the last cut ones, and returns how many of them
// were not consumed.
func exchangeWith(method string, text []byte, cut int) (resp *Response, left int, err error) {
	conn := &replayConn{text: text, cut: cut}
	c := NewConn(conn)
	r := newGet("/stock")
	r.Method = method
	r.MaxResponseBytes = 1 << 10
	resp, err = c.Exchange(background, r)
	return resp, len(conn.text) - (conn.read - c.reader.Buffered()), err
}

// FuzzResponse checks that a response is within its limit, that one without its
// last byte is not accepted as complete, and that every error has an unknown
// outcome.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		okResponse("one"),
		okResponse("one") + okResponse("two"),
		"HTTP/1.1 100 Continue\r\n\r\n" + okResponse("one"),
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
		"HTTP/1.1 000 \r\n\r\n" + okResponse("one"),
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nX-A: a\r\n X-B: b\r\nContent-Length: 3\r\n\r\nabc",
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
		resp, left, err := exchangeWith(method, text, 0)
		if err != nil {
			if outcome := result.InfoOf(err.(*Error).Code).Outcome; outcome != result.Unknown {
				t.Fatalf("outcome %s after the request was sent: %v", outcome, err)
			}
			return
		}
		if len(resp.Body) > 1<<10 || resp.Status < 200 || resp.Status > 599 {
			t.Fatalf("status %d with %d bytes", resp.Status, len(resp.Body))
		}
		if truncated, _, err := exchangeWith(method, text, left+1); err == nil {
			t.Fatalf("%q accepted as complete without its last %d bytes: %q", text, left+1, truncated.Body)
		}
	})
}
