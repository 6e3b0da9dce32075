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

// A VM has no configuration yet. It must say that it has not run the request, not that
// there is no such route: callers do not come back after that.
func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
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

// A target refuses requests unrun. Each is sent to the other one, whatever its kind.
func TestUnrunRequestIsSentAgain(t *testing.T) {
	bad, good := oneOf(t, shed)
	f := newGateway(t, bad, good)
	for i := range 8 {
		a := f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), time.Second, "order")
		if a.Status != http.StatusOK || string(a.Body) != "done" {
			t.Fatalf("request %d: %d", i, a.Status)
		}
	}
	if bad.count() == 0 {
		t.Error("no request met the target that refuses")
	}
}

// A target closes the connection after it has read an order. It may have run, so it is
// neither sent again nor called "not run".
func TestOrderIsNotSentAgainAfterALoss(t *testing.T) {
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

// The same for a look-up: it is sent again, to at most as many targets as its route says.
func TestLookupIsSentAgainAfterALoss(t *testing.T) {
	bad, good := oneOf(t, hangUp)
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

// A look-up is lost at one target, and the other one refuses it unrun. It may have run, so
// that its caller is not told that it has not.
func TestNotRunIsNotSaidOfALostLookup(t *testing.T) {
	for i := range 6 {
		bad, full := startTarget(t, "lost", hangUp), startTarget(t, "full", shed)
		f := newGateway(t, bad, full)
		a := f.ask(context.Background(), "GET", "/safe/x", fmt.Sprint(i), time.Second, "")
		if bad.count() > 0 && a.Status == http.StatusServiceUnavailable {
			t.Fatalf("request %d reached a target and was answered %d", i, a.Status)
		}
	}
}

// A target's own failure of an order is passed on as it is.
func TestTargetsFailureIsPassedOn(t *testing.T) {
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

// A target answers with success but without its mark, or cuts its answer. Neither is a
// success to the caller.
func TestSpoiltAnswers(t *testing.T) {
	for what, text := range map[string]string{
		"no mark":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"cut":        "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 40\r\n\r\ndone",
		"no answer":  "NONSENSE\r\n\r\n",
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

// A target gives the answer to an earlier request a second time, right before the
// awaited one. The caller must get its own.
func TestStrayAnswerIsSkipped(t *testing.T) {
	f := newGateway(t, startTarget(t, "a", func(w *bufio.Writer, r *http.Request, _ string) bool {
		io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: earlier\r\nContent-Length: 5\r\n\r\nwrong")
		return ok(w, r, "")
	}))
	if a := f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "order"); a.Status != 200 || string(a.Body) != "done" {
		t.Fatalf("%d %q", a.Status, a.Body)
	}
}

// A target ends its answer by closing the connection, in order.
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

// What goes to a target: the request as it came, the time that is left, and the name of
// the target that is meant.
func TestWhatIsSent(t *testing.T) {
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

// The caller leaves. The target must see that at once.
func TestLeavingCallerFreesTheTarget(t *testing.T) {
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
		t.Errorf("an answer for nobody: %d", a.Status)
	}
	close(over)
}

// A target is silent. The caller learns at its time that nobody knows whether the
// order ran.
func TestSilentTarget(t *testing.T) {
	over := make(chan struct{})
	defer close(over)
	silent := func(*bufio.Writer, *http.Request, string) bool { <-over; return false }
	f := newGateway(t, startTarget(t, "a", silent))
	if a := f.ask(context.Background(), "POST", "/once/x", "1", 150*time.Millisecond, "order"); a.Status != http.StatusGatewayTimeout {
		t.Errorf("%d", a.Status)
	}
}

// No target can be reached. The request has not run and the caller may come back.
func TestNoTargetToBeReached(t *testing.T) {
	s := startTarget(t, "a", ok)
	s.listener.Close()
	f := newGateway(t, s)
	a := f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "order")
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
		t.Fatalf("%d %v", a.Status, a.Header)
	}
}

// An engineer has the id of a failed order and the log. One line must name the route,
// the version of its configuration, the target, how the sending ended and why.
func TestFailureIsFoundByItsID(t *testing.T) {
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
