package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"
)

// Callers that do not read their responses must not fill the memory of the VM: further requests are
// refused as not run until the responses are read.
func TestUnreadResponsesAreBounded(t *testing.T) {
	const limit, size = 1 << 20, 16 << 20
	handled := 0
	l := logrus.New()
	l.SetOutput(io.Discard)
	s, err := Start(Options{
		Address: "127.0.0.1:0", MaxUnreadBytes: limit, Limits: func() Limits { return testLimits }, Logger: logrus.NewEntry(l),
		Handler: func(_ context.Context, r *Request) *Response {
			handled++
			if r.Path == "/small" {
				return PlainText(http.StatusOK, "ok")
			}
			return &Response{Status: http.StatusOK, Header: http.Header{}, Body: bytes.Repeat([]byte("x"), size)}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	slow := dial(t, s)
	slow.send(get("/large"))
	awaitUnread(s, true)
	other := dial(t, s)
	other.send(get("/small"))
	if status, _, last := other.receive(); status != http.StatusServiceUnavailable || !last || handled != 1 {
		t.Errorf("status %d, last %v, %d requests handled, want 503 on a connection that closes and 1", status, last, handled)
	}
	if status, body, _ := slow.receive(); status != http.StatusOK || len(body) != size {
		t.Errorf("status %d with %d bytes, want 200 with %d", status, len(body), size)
	}
	awaitUnread(s, false)
	again := dial(t, s)
	again.send(get("/small"))
	if status, body, _ := again.receive(); status != http.StatusOK || body != "ok" {
		t.Errorf("status %d, body %q after the response was read", status, body)
	}
}

func awaitUnread(s *Server, tooMany bool) {
	for s.hasTooManyUnread() != tooMany {
		runtime.Gosched()
	}
}
