package httpserver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// answerTimeout ends a request whose connection the server has lost.
const answerTimeout = 10 * time.Second

// Guards against bytes of one caller in a response to another, or in the request that its handler
// reads.
func TestLargeChunkedResponsesAreNotMixed(t *testing.T) {
	const callers, requests, pieceBytes = 16, 100, 70 << 10
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if mark := r.Header.Get("Mark"); strings.Trim(string(body), mark) != "" {
			w.WriteHeader(http.StatusConflict)
			return
		}
		_, _ = w.Write(body[:1])
		_, _ = w.Write(body[1:])
	})
	s, err := Start(Options{Address: "127.0.0.1:0", Handler: handler, MaxBodyBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop(context.Background())
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var all sync.WaitGroup
	for i := range callers {
		mark := string(rune('a' + i))
		all.Go(func() {
			for n := range requests {
				if err := sendMarked(client, s.Address(), mark, pieceBytes>>(n%2*4)); err != nil {
					t.Errorf("caller %s, request %d: %v", mark, n, err)
					return
				}
			}
		})
	}
	all.Wait()
}

// sendMarked sends a body that repeats a mark and checks that the response is the same.
func sendMarked(client *http.Client, address, mark string, size int) error {
	sent := bytes.Repeat([]byte(mark), size)
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(sent))
	if err != nil {
		return err
	}
	r.Header.Set("Mark", mark)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: the handler read bytes of another request", resp.StatusCode)
	}
	if !bytes.Equal(got, sent) {
		return fmt.Errorf("%d bytes instead of %d, or bytes of another response", len(got), len(sent))
	}
	return nil
}
