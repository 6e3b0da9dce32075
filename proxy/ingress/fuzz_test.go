package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// FuzzRequest sends arbitrary bytes to the server. Every response must be
// complete, and all reserved memory must be released.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
		"GET / HTTP/1.1\r\nA : b\r\n\r\n",
		"GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"\x16\x03\x01",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	} {
		f.Add([]byte(text))
	}
	const memory = 1 << 20
	bodies := &limitedAdmitter{limit: 1000}
	bodies.free.Store(memory)
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: http.HandlerFunc(echo), BodyAdmitter: bodies})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() {
		_ = s.Stop(context.Background())
		if free := bodies.free.Load(); free != memory {
			f.Errorf("%d bytes free of %d", free, memory)
		}
	})
	f.Fuzz(func(t *testing.T, text []byte) {
		conn, r := dialServer(t, s)
		defer conn.Close()
		_, _ = conn.Write(text)
		_ = conn.(*net.TCPConn).CloseWrite()
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				break
			}
			if _, err := io.ReadAll(resp.Body); err != nil && resp.StatusCode != http.StatusContinue {
				t.Fatalf("response %v: %v", resp.Header, err)
			}
			if got := resp.Header.Get(result.HeaderOutcome); got != "" && got != "not-run" {
				t.Fatalf("outcome %s", got)
			}
		}
	})
}
