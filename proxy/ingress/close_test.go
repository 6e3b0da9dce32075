package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A pending poller event of a connection that timed out must not be applied to
// a new connection that reuses its file descriptor.
func TestTimeoutsDoNotCloseOtherConnections(t *testing.T) {
	const slowClients, clients, connections = 64, 16, 400
	const headerTimeout = 2 * time.Millisecond
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "whole") })
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: handler, MaxBodyBytes: 1024, HeaderTimeout: headerTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop(context.Background())
	var done atomic.Bool
	var slow, all sync.WaitGroup
	var timeouts atomic.Int64
	for i := range slowClients {
		slow.Go(func() {
			for n := 0; !done.Load(); n++ {
				c, err := net.Dial("tcp", s.Address())
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "GET")
				time.Sleep(headerTimeout - 100*time.Microsecond + time.Duration((i*37+n*11)%200)*time.Microsecond)
				c.Close()
				timeouts.Add(1)
			}
		})
	}
	var failed atomic.Int64
	for range clients {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for range connections {
				resp, err := client.Get("http://" + s.Address() + "/")
				if err != nil {
					failed.Add(1)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
	all.Wait()
	done.Store(true)
	slow.Wait()
	if failed.Load() > 0 || timeouts.Load() < connections {
		t.Errorf("%d of %d connections failed, with %d timeouts", failed.Load(), clients*connections, timeouts.Load())
	}
}
