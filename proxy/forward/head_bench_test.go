package forward

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward/forwardtest"
)

// answeringConn answers each request with the text, which names it.
type answeringConn struct {
	net.Conn
	text string
	left bytes.Buffer
}

func (c *answeringConn) Write(p []byte) (int, error) {
	_, rest, _ := bytes.Cut(p, []byte(result.HeaderExchange+": "))
	exchange, _, _ := bytes.Cut(rest, []byte("\r\n"))
	c.left.WriteString(forwardtest.Name(c.text, string(exchange)))
	return len(p), nil
}
func (c *answeringConn) Read(p []byte) (int, error)     { return c.left.Read(p) }
func (*answeringConn) SetDeadline(time.Time) error      { return nil }
func (*answeringConn) SetReadDeadline(time.Time) error  { return nil }
func (*answeringConn) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkExchange measures an exchange without a network.
func BenchmarkExchange(b *testing.B) {
	conn := &answeringConn{text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,8\r\n\r\nabc"}
	c := NewConn(conn)
	r := newGet("/stock")
	r.Deadline = time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Exchange(background, r); err != nil {
			b.Fatal(err)
		}
	}
}
