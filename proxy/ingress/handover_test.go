package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// With one connection per request, no connection may be closed in place of an
// earlier one with the same file descriptor, and its setup must not race with
// the reading goroutine.
func TestNewConnectionHasNoDataRace(t *testing.T) {
	const clients, connections = 8, 1000
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RemoteAddr) })
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: handler, MaxBodyBytes: 1024})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop(context.Background())
	var all sync.WaitGroup
	for range clients {
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

// Connections opened right after the start must not be closed by pending events
// of the server's own poller probes with the same file descriptors.
func TestConnectionsRightAfterStartAreServed(t *testing.T) {
	// Concurrent servers delay the pollers.
	const servers, starts, clients = 24, 25, 4
	var failed atomic.Int64
	var all sync.WaitGroup
	for range servers {
		all.Go(func() {
			for range starts {
				failed.Add(countFailuresAfterStart(t, clients))
			}
		})
	}
	all.Wait()
	if n := failed.Load(); n > 0 {
		t.Fatalf("%d of %d clients got no response", n, servers*starts*clients)
	}
}

// countFailuresAfterStart connects clients to a new server and returns how many
// got no response.
func countFailuresAfterStart(t *testing.T, clients int) int64 {
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: http.HandlerFunc(echo)})
	if err != nil {
		t.Error(err)
		return 0
	}
	defer s.Stop(context.Background())
	var failed atomic.Int64
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			if err := callEcho(s.Address()); err != nil {
				t.Logf("client of %s: %v", s.Address(), err)
				failed.Add(1)
			}
		})
	}
	all.Wait()
	return failed.Load()
}

// callEcho sends a request on a new connection and returns an error, with the step
// and the time since the connection was established, unless it is answered.
func callEcho(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	connected := time.Now()
	failure := func(step string, err error) error {
		return fmt.Errorf("%s from %s after %v: %w", step, c.LocalAddr(), time.Since(connected), err)
	}
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		return failure("send request", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return failure("read response header", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return failure("read response body", err)
	}
	if string(body) != "body" {
		return failure("compare response body", fmt.Errorf("status %d, body %q", resp.StatusCode, body))
	}
	return nil
}
