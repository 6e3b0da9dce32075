package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"
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
