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

// Callers that send half a head and give up just when the server does make it
// close their connections while the poller holds an event for them. Other
// callers open a connection for each request. Without the barrier of
// httpserver/handover, one in 350 to 1,000 of them lost its connection: the pending event
// was taken for one of the connection that got the descriptor.
func TestTimeOutsCloseNoOtherConnection(t *testing.T) {
	const idlers, callers, connections = 64, 16, 400
	const headTime = 2 * time.Millisecond
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "whole") })
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: handler, MaxBodyBytes: 1024, HeaderTimeout: headTime})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop(context.Background())
	var done atomic.Bool
	var slow, all sync.WaitGroup
	var timeouts atomic.Int64
	for i := range idlers {
		slow.Go(func() {
			for n := 0; !done.Load(); n++ {
				c, err := net.Dial("tcp", s.Address())
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "GET")
				time.Sleep(headTime - 100*time.Microsecond + time.Duration((i*37+n*11)%200)*time.Microsecond)
				c.Close()
				timeouts.Add(1)
			}
		})
	}
	var lost atomic.Int64
	for range callers {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for range connections {
				resp, err := client.Get("http://" + s.Address() + "/")
				if err != nil {
					lost.Add(1)
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
	if lost.Load() > 0 || timeouts.Load() < connections {
		t.Errorf("%d of %d connections lost beside %d time-outs", lost.Load(), callers*connections, timeouts.Load())
	}
}
