package responsehead

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
)

// read returns the result of reading and checking a head.
func read(head string) error {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n")), nil)
	if err != nil {
		return err
	}
	if err := Check(resp); err != nil {
		return err
	}
	return CheckLines(resp, []byte(head+"\r\n"))
}

// Guards against heads that HTTP does not allow being read as responses, whether net/http or this package finds it.
func TestMalformedHeads(t *testing.T) {
	const okay = "HTTP/1.1 200 OK\r\n"
	for name, head := range map[string]string{
		"blank in a name":                okay + "X Odd: a\r\n",
		"blank before the colon":         okay + "Content-Length : 3\r\n",
		"blank before the colon, coding": okay + "Transfer-Encoding : chunked\r\n",
		"name that begins with a blank":  okay + "X-A: a\r\n X-Odd: a\r\n",
		"name that begins with a tab":    okay + "X-A: a\r\n\tX-Odd: a\r\n",
		"first name after a blank":       okay + " X-Odd: a\r\n",
		"blank line of a fold":           okay + "X-A: a\r\n \r\n",
		"tab in a name":                  okay + "X\tOdd: a\r\n",
		"NUL in a name":                  okay + "X\x00Odd: a\r\n",
		"control byte in a name":         okay + "X\x01Odd: a\r\n",
		"carriage return in a name":      okay + "X\rOdd: a\r\n",
		"DEL in a name":                  okay + "X\x7fOdd: a\r\n",
		"0x80 in a name":                 okay + "X\x80Odd: a\r\n",
		"empty name":                     okay + ": a\r\n",
		"NUL in a value":                 okay + "X-Odd: a\x00\r\n",
		"status 000":                     "HTTP/1.1 000 x\r\n",
		"status 099":                     "HTTP/1.1 099 x\r\n",
		"status 600":                     "HTTP/1.1 600 x\r\n",
		"status 999":                     "HTTP/1.1 999 x\r\n",
		"status +20":                     "HTTP/1.1 +20 x\r\n",
		"status -01":                     "HTTP/1.1 -01 x\r\n",
		"status 20":                      "HTTP/1.1 20 x\r\n",
		"HTTP/9.9":                       "HTTP/9.9 200 x\r\n",
		"HTTP/2.0":                       "HTTP/2.0 200 x\r\n",
		"HTTP/0.0":                       "HTTP/0.0 200 x\r\n",
		"control byte in the reason":     "HTTP/1.1 200 \x01\r\n",
		"NUL in the reason":              "HTTP/1.1 200 a\x00b\r\n",
		"carriage return in the reason":  "HTTP/1.1 200 a\rb\r\n",
		"coding in HTTP/1.0":             "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		if err := read(head); err == nil {
			t.Errorf("%s: %q was accepted", name, head)
		}
	}
}

// Guards against heads of other servers being refused.
func TestUsualHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 200 OK\r\n",
		"HTTP/1.9 204 x\r\n", "HTTP/1.1 599 x\r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 200 a\tb \x80\xff\r\n",
		"HTTP/1.1 200 OK\nX-Lines: end without a carriage return\n", "HTTP/1.1 200 OK\r\nX-Empty:\r\nx!#$%&'*+.^_`|~-9: a b\t\xc3\xa9\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n",
	} {
		if err := read(head); err != nil {
			t.Errorf("%q: %v", head, err)
		}
	}
}

// fixedResponse is a transport whose responses have a given head.
type fixedResponse struct {
	head   string
	closed bool
}

func (f *fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(f.head+"\r\n")), r)
	if err == nil {
		resp.Body = f
	}
	return resp, err
}

func (f *fixedResponse) Read([]byte) (int, error) { return 0, io.EOF }

func (f *fixedResponse) Close() error {
	f.closed = true
	return nil
}

// Guards against a malformed response that counts for a client of net/http, or whose connection stays open.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-A: a\r\n": true, "HTTP/1.1 200 OK\r\nX Odd: a\r\n": false, "HTTP/1.1 000 x\r\n": false,
	} {
		base := &fixedResponse{head: head}
		client := http.Client{Transport: Transport{Base: base}}
		resp, err := client.Get("http://vm/")
		if got := err == nil; got != want || !want && (!errors.Is(err, ErrMalformed) || !base.closed) {
			t.Errorf("%q: %+v, %v, closed %v", head, resp, err, base.closed)
		}
	}
}

// BenchmarkCheck measures the checks of one head beside reading it.
func BenchmarkCheck(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nX-Id: 9c41d07be2a35f68\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if Check(resp) != nil || CheckLines(resp, head) != nil {
			b.Fatal("refused")
		}
	}
}

// Guards against heads without end that fill the memory: they must end soon after the bound, and the connection with them.
func TestEndlessHeads(t *testing.T) {
	const mostRead = 2 * maxHeadBytes
	for name, c := range map[string]struct{ start, more string }{
		"fields": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"}, "informational responses": {"", "HTTP/1.1 103 x\r\nA: b\r\n\r\n"}, "zeros": {"", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, c.start)
				for block := strings.Repeat(c.more, 1<<10); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			}()
			read := new(atomic.Int64)
			dialer := new(net.Dialer)
			client := http.Client{Transport: NewTransport(&http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, address)
					return &countedConn{Conn: conn, read: read}, err
				},
			})}
			if resp, err := client.Get("http://" + l.Addr().String() + "/"); err == nil {
				t.Errorf("%+v", resp)
			}
			<-ended
			if read.Load() > mostRead {
				t.Errorf("%d bytes were read, want at most %d", read.Load(), mostRead)
			}
		})
	}
}

// countedConn counts the bytes that are read.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
