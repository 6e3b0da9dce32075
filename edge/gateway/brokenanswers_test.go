package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
)

// startUnreadTarget starts a target that reads the head of each request and not its body.
func startUnreadTarget(t *testing.T, id string, answer func(c *net.TCPConn, r *http.Request)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{id: id, listener: l}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	})
	t.Cleanup(func() { l.Close(); all.Wait() })
	return s
}

// allowUploads makes the routes accept uploads that take long.
func allowUploads(v *catalog.View) {
	for i := range v.Config.Routes {
		v.Config.Routes[i].Timeout, v.Config.Routes[i].Upload = time.Minute, true
	}
}

// uploadBytes exceed what the buffers of a connection hold.
const uploadBytes = 8 << 20

// Guards against a part of an answer that reaches the caller as a complete one: the target answers an upload at once
// and without a length, and resets the connection while the upload is under way. An answer that the target has ended
// must reach the caller.
func TestAnswerToUnreadUpload(t *testing.T) {
	const uploads = 30
	for _, status := range []string{"200 OK", "413 Too Large", "500 Failed"} {
		for _, closes := range []string{"", "Connection: close\r\n"} {
			for _, ends := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %q, ended %v", status, closes, ends), func(t *testing.T) {
					s := startUnreadTarget(t, "a", func(c *net.TCPConn, r *http.Request) {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Id: %s\r\n%s%s\r\npart of", status, r.Header.Get("X-Id"), stamp, closes)
						if ends {
							_ = c.CloseWrite()
						}
						time.Sleep(time.Duration(5+len(r.Header.Get("X-Id"))) * time.Millisecond)
						_ = c.SetLinger(0)
					})
					f := newGateway(t)
					f.edit = allowUploads
					f.setTargets(false, s)
					body := strings.Repeat("x", uploadBytes)
					passed := 0
					for i := range uploads {
						a := f.ask(context.Background(), "POST", "/once/x", strings.Repeat("i", 1+i), time.Minute, body)
						if a.Header.Get("X-Stamp") != "" {
							passed++
						} else if a.Status != http.StatusBadGateway {
							t.Errorf("upload %d: status %d", i, a.Status)
						}
					}
					if want := map[bool]int{true: uploads}[ends]; passed != want {
						t.Errorf("%d of %d answers were passed on, want %d", passed, uploads, want)
					}
				})
			}
		}
	}
}
