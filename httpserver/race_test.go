package httpserver

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
)

// Guards against a new connection being closed by a stale event for a reused
// descriptor, and against a data race on the remote address of a new connection.
func TestConnectionHandoverHasNoRace(t *testing.T) {
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
