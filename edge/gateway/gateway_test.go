package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/serve"
)

// Before the first configuration a request is refused as not run, not as an unknown route,
// which callers do not retry.
func TestRequestWithoutConfigurationIsRetryable(t *testing.T) {
	a := newGateway(t).ask(context.Background(), "GET", "/safe/x", "1", time.Second, "")
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
		t.Fatalf("%d %v", a.Status, a.Header)
	}
}

func TestUnknownRoute(t *testing.T) {
	f := newGateway(t, startTarget(t, "a", ok))
	if a := f.ask(context.Background(), "GET", "/other/x", "1", time.Second, ""); a.Status != http.StatusNotFound {
		t.Fatalf("%d", a.Status)
	}
}

// A request that a target refuses unrun is retried at another one, even if it must run at
// most once.
func TestUnrunRequestIsRetried(t *testing.T) {
	bad, good := badAndGoodTargets(t, shed)
	f := newGateway(t, bad, good)
	for i := range 8 {
		a := f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), time.Second, "order")
		if a.Status != http.StatusOK || string(a.Body) != "done" {
			t.Fatalf("request %d: %d", i, a.Status)
		}
	}
	if bad.count() == 0 {
		t.Error("no request reached the refusing target")
	}
}

// A request that must run at most once is neither retried nor reported as not run after the
// target has closed the connection.
func TestAtMostOnceRequestIsNotRetriedAfterLoss(t *testing.T) {
	bad, other := startTarget(t, "a", hangUp), startTarget(t, "b", hangUp)
	f := newGateway(t, bad, other)
	a := f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "order")
	if a.Status != http.StatusBadGateway {
		t.Errorf("status %d", a.Status)
	}
	if n := bad.count() + other.count(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// An idempotent request is retried after a lost connection, up to MaxAttempts of its route.
func TestIdempotentRequestIsRetriedAfterLoss(t *testing.T) {
	bad, good := badAndGoodTargets(t, hangUp)
	f := newGateway(t, bad, good)
	for i := range 6 {
		if a := f.ask(context.Background(), "GET", "/safe/x", fmt.Sprint(i), time.Second, ""); a.Status != http.StatusOK {
			t.Fatalf("request %d: %d", i, a.Status)
		}
	}
	worse, bad2, bad3 := startTarget(t, "a", hangUp), startTarget(t, "b", hangUp), startTarget(t, "c", hangUp)
	f = newGateway(t, worse, bad2, bad3)
	f.ask(context.Background(), "GET", "/safe/x", "1", time.Second, "")
	if n := worse.count() + bad2.count() + bad3.count(); n != 2 {
		t.Errorf("sent to %d targets, 2 permitted", n)
	}
}

// A request lost at one target and refused by the next may have run, and must not be
// reported as not run.
func TestLostThenRefusedRequestIsNotReportedAsNotRun(t *testing.T) {
	for i := range 6 {
		bad, full := startTarget(t, "lost", hangUp), startTarget(t, "full", shed)
		f := newGateway(t, bad, full)
		a := f.ask(context.Background(), "GET", "/safe/x", fmt.Sprint(i), time.Second, "")
		if bad.count() > 0 && a.Status == http.StatusServiceUnavailable {
			t.Fatalf("request %d reached a target and was answered %d", i, a.Status)
		}
	}
}

// An error response of a target reaches the caller unchanged.
func TestTargetErrorResponseIsForwarded(t *testing.T) {
	f := newGateway(t, startTarget(t, "a", func(w *bufio.Writer, r *http.Request, _ string) bool {
		fmt.Fprintf(w, "HTTP/1.1 500 Internal Server Error\r\nX-Stamp: s\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("X-Id"))
		return true
	}))
	for _, path := range []string{"/once/x", "/safe/x"} {
		a := f.ask(context.Background(), "POST", path, "1", time.Second, "order")
		if a.Status != http.StatusInternalServerError || string(a.Body) != "bad" || a.Header.Get("X-Stamp") != "s" {
			t.Errorf("%s: %d %q", path, a.Status, a.Body)
		}
	}
}

// Success responses without the target's stamp, truncated ones and malformed ones must not
// reach the caller as success.
func TestInvalidAnswers(t *testing.T) {
	for what, text := range map[string]string{
		"no stamp":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"cut":        "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 40\r\n\r\ndone",
		"malformed":  "NONSENSE\r\n\r\n",
		"other's id": "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: other\r\nContent-Length: 4\r\n\r\ndone",
	} {
		f := newGateway(t, startTarget(t, "a", func(w *bufio.Writer, _ *http.Request, _ string) bool {
			io.WriteString(w, text)
			w.Flush()
			return false
		}))
		if a := f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "order"); a.Status != http.StatusBadGateway {
			t.Errorf("%s: %d", what, a.Status)
		}
	}
}

// A repeated answer to an earlier request on the same connection must not reach the caller.
func TestStrayAnswerIsSkipped(t *testing.T) {
	f := newGateway(t, startTarget(t, "a", func(w *bufio.Writer, r *http.Request, _ string) bool {
		io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: earlier\r\nContent-Length: 5\r\n\r\nwrong")
		return ok(w, r, "")
	}))
	if a := f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "order"); a.Status != 200 || string(a.Body) != "done" {
		t.Fatalf("%d %q", a.Status, a.Body)
	}
}

// An answer without Content-Length ends when the target closes the connection.
func TestAnswerWithoutLength(t *testing.T) {
	f := newGateway(t, startTarget(t, "a", func(w *bufio.Writer, r *http.Request, _ string) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: %s\r\n\r\nall of it", r.Header.Get("X-Id"))
		w.Flush()
		return false
	}))
	if a := f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "order"); a.Status != 200 || string(a.Body) != "all of it" {
		t.Fatalf("%d %q", a.Status, a.Body)
	}
}

// A target receives the request unchanged, with the remaining time and its own id.
func TestForwardedRequest(t *testing.T) {
	got := make(chan *http.Request, 1)
	f := newGateway(t, startTarget(t, "a", func(w *bufio.Writer, r *http.Request, body string) bool {
		got <- r
		return ok(w, r, body)
	}))
	f.ask(context.Background(), "POST", "/once/x?q=%20", "id-1", 900*time.Millisecond, "order")
	r := <-got
	if r.RequestURI != "/once/x?q=%20" || r.Host != "h:80" || r.ContentLength != 5 {
		t.Errorf("request %s %s %d", r.RequestURI, r.Host, r.ContentLength)
	}
	if ids := r.Header["X-Id"]; len(ids) != 1 || ids[0] != "id-1" || r.Header.Get("X-Expect") != "a" {
		t.Errorf("fields %v", r.Header)
	}
	var left int
	if _, err := fmt.Sscan(r.Header.Get("X-Deadline"), &left); err != nil || left <= 0 || left > 900 || len(r.Header["X-Deadline"]) != 1 {
		t.Errorf("time left %v", r.Header["X-Deadline"])
	}
}

// Handle returns without an answer as soon as the caller has disconnected.
func TestCallerDisconnectEndsRequest(t *testing.T) {
	begun, over := make(chan struct{}), make(chan struct{})
	var once sync.Once
	s := startTarget(t, "a", func(w *bufio.Writer, r *http.Request, _ string) bool {
		once.Do(func() { close(begun) })
		<-over
		return false
	})
	f := newGateway(t, s)
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan *serve.Response, 1)
	go func() { done <- f.ask(ctx, "POST", "/once/x", "1", time.Minute, "order") }()
	<-begun
	leave()
	if a := <-done; a != nil {
		t.Errorf("answered %d after the caller disconnected", a.Status)
	}
	close(over)
}

// A request at a target that never answers ends at its deadline with an unknown outcome.
func TestUnresponsiveTarget(t *testing.T) {
	over := make(chan struct{})
	defer close(over)
	silent := func(*bufio.Writer, *http.Request, string) bool { <-over; return false }
	f := newGateway(t, startTarget(t, "a", silent))
	if a := f.ask(context.Background(), "POST", "/once/x", "1", 150*time.Millisecond, "order"); a.Status != http.StatusGatewayTimeout {
		t.Errorf("%d", a.Status)
	}
}

// A request is refused as not run if no target accepts a connection.
func TestNoReachableTarget(t *testing.T) {
	s := startTarget(t, "a", ok)
	s.listener.Close()
	f := newGateway(t, s)
	a := f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "order")
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
		t.Fatalf("%d %v", a.Status, a.Header)
	}
}

// The log line of a failed request must contain what is needed to explain the failure.
func TestFailedRequestIsLoggedInOneLine(t *testing.T) {
	f := newGateway(t, startTarget(t, "a", hangUp))
	for i := range 5 {
		f.ask(context.Background(), "POST", "/once/x", fmt.Sprint("order-", i), time.Second, "order")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var line string
	for text := range strings.Lines(f.logs.String()) {
		if strings.Contains(text, `"id":"order-0"`) {
			line = text
		}
	}
	for _, want := range []string{`"route":"once"`, `"version":3`, `"targets":["a"]`, `"ends":`, `"result":`, `"why":`, `"sent":1`,
		`"in_flight":0`, `"slots":4`, `"counts_age_ms":`, `"expected_ms":`, `"waited_ms":`, `"left_ms":`} {
		if !strings.Contains(line, want) {
			t.Errorf("%s is not in %s", want, line)
		}
	}
}
