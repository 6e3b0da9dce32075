package httplist

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/yuccaroute/yuccaroute/store"
)

// Guards against a response with a malformed head that counts as the platform's list of VMs.
func TestMalformedHeadIsNoList(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nX Odd: a\r\n", "HTTP/9.9 200 OK\r\n", "HTTP/1.1 304 x\r\nX-Odd : a\r\n", "HTTP/1.1 000 x\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, head+"Content-Length: 10\r\n\r\n{\"vms\":[]}")
			}
		}()
		lister := New(Options{Address: l.Addr().String()})
		if list, err := lister.List(t.Context()); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("%q: %+v, %v", head, list, err)
		}
		lister.Close()
		l.Close()
	}
}
