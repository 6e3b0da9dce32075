package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// Callers open a connection for each request. One of them gets no answer, and
// its request was never read: its connection was closed in place of an earlier
// one that had the same descriptor.
//
// A caller opens a connection and its request is served at once. The library
// hands the connection from the goroutine that accepts to the one that reads
// through the kernel only, so that the race detector, and the memory model,
// see the caller's address read without order after it was written.
func TestConnectionIsHandedOverInOrder(t *testing.T) {
	const callers, connections = 8, 1000
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RemoteAddr) })
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: handler, MaxBodyBytes: 1024})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop(context.Background())
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for range connections {
				resp, err := client.Get("http://" + s.Address() + "/")
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
	all.Wait()
}

// A caller connects as soon as a server has started, and its connection is
// closed without an answer. The server had probed its pollers with connections
// of its own; the end of one was applied to the caller's, which had got the
// same descriptor.
func TestFirstCallerAfterTheStartIsServed(t *testing.T) {
	// Many servers at once make the pollers late.
	const servers, starts, callers = 24, 25, 4
	var lost atomic.Int64
	var all sync.WaitGroup
	for range servers {
		all.Go(func() {
			for range starts {
				lost.Add(lostAfterStart(t, callers))
			}
		})
	}
	all.Wait()
	if n := lost.Load(); n > 0 {
		t.Fatalf("%d of %d callers got no answer", n, servers*starts*callers)
	}
}

// lostAfterStart starts a server, lets callers connect at once and returns how
// many got no answer.
func lostAfterStart(t *testing.T, callers int) int64 {
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: http.HandlerFunc(echo)})
	if err != nil {
		t.Error(err)
		return 0
	}
	defer s.Stop(context.Background())
	var lost atomic.Int64
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			if !answered(s.Address()) {
				lost.Add(1)
			}
		})
	}
	all.Wait()
	return lost.Load()
}

// answered tells whether a request over a new connection gets its answer.
func answered(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == "body"
}
