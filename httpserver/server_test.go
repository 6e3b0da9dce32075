package httpserver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
)

// An oversized body must be rejected before it is buffered in memory.
func TestBodyOverLimitNeverReachesHandler(t *testing.T) {
	const limit = 1024
	reached := make(chan int, 2)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		reached <- len(body)
	})
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: handler, MaxBodyBytes: limit})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop(context.Background())
	url := "http://" + s.Address() + "/"
	resp, err := http.Post(url, "text/plain", bytes.NewReader(make([]byte, limit)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if n := <-reached; n != limit {
		t.Fatalf("handler read %d bytes, want %d", n, limit)
	}
	resp, err = http.Post(url, "text/plain", bytes.NewReader(make([]byte, limit+1)))
	if err == nil {
		resp.Body.Close()
	}
	if len(reached) != 0 {
		t.Fatal("handler ran for a body over the limit")
	}
}
