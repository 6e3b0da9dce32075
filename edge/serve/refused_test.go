package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
)

// oneBody has room for one request body.
type oneBody struct {
	mu    sync.Mutex
	taken bool
}

func (b *oneBody) Take(int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.taken
	b.taken = true
	return !was
}

func (b *oneBody) Give(int64) {}

// Guards against a refusal of an unread request that passes for the answer to the one before it, which runs, or that does
// not tell which request it is for.
func TestRefusalOfAnUnreadRequestNamesIt(t *testing.T) {
	l := logrus.New()
	l.SetOutput(io.Discard)
	handled := make(chan string, 2)
	proceed := make(chan struct{})
	s, err := Start(Options{
		Address: "127.0.0.1:0", Limits: func() Limits { return testLimits }, Logger: logrus.NewEntry(l), Memory: &oneBody{},
		IDField: "X-Id", RefusedHeader: http.Header{"X-Unread": {"1"}},
		Handler: func(_ context.Context, r *Request) *Response {
			handled <- r.Header.Get("X-Id")
			<-proceed
			a := PlainText(http.StatusOK, "ran")
			a.Header.Set("X-Id", r.Header.Get("X-Id"))
			return a
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := dial(t, s)
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nX-Id: first\r\nContent-Length: 1\r\n\r\nxPOST /b HTTP/1.1\r\nHost: h\r\nX-Id: second\r\nContent-Length: 1\r\n\r\nx")
	if id := <-handled; id != "first" {
		t.Fatalf("%s was handled first", id)
	}
	close(proceed)
	for _, want := range []string{"200 first ", "503 second 1"} {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if got := fmt.Sprintf("%d %s %s", resp.StatusCode, resp.Header.Get("X-Id"), resp.Header.Get("X-Unread")); got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	}
	if len(handled) > 0 {
		t.Errorf("%s was handled", <-handled)
	}
}
