package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// foreignAnswers are complete answers that name no request, or no single one.
var foreignAnswers = map[string]string{
	"refusal":         "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"refusal, empty":  "HTTP/1.1 503 x\r\nX-Id:\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"refusal, two":    "HTTP/1.1 503 x\r\nX-Id: another\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"refusal, second": "HTTP/1.1 503 x\r\nX-Id: %s\r\nX-Id: another\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"misdirected":     "HTTP/1.1 421 x\r\nContent-Length: 4\r\n\r\nwho?",
	"success":         "HTTP/1.1 200 x\r\nX-Stamp: s\r\nContent-Length: 7\r\n\r\nforeign",
	"error":           "HTTP/1.1 500 x\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n",
}

// Guards against an answer that names no request being taken for that of the request under way, which then runs
// twice, is refused though it runs, or gets foreign bytes.
func TestAnswerThatNamesNoRequestIsNobodys(t *testing.T) {
	for name, foreign := range foreignAnswers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				runs := make(map[string]int)
				answer := func(w *bufio.Writer, r *http.Request, body string) bool {
					id := r.Header.Get("X-Id")
					mu.Lock()
					runs[id]++
					mu.Unlock()
					text := foreign
					if name == "refusal, two" || name == "refusal, second" {
						text = fmt.Sprintf(foreign, id)
					}
					_, _ = io.WriteString(w, text)
					_ = w.Flush()
					time.Sleep(runTime)
					return ok(w, r, body)
				}
				a, b := &target{id: "a"}, &target{id: "b"}
				f := newGatewayOn(t, pipeDialer(map[*target]script{a: answer, b: answer}), a, b)
				f.options.RetryExtra = 1000
				for i := range 20 {
					id := fmt.Sprint(i)
					if got := f.ask(context.Background(), "POST", "/once/x", id, 2*time.Second, ""); got.Status != http.StatusOK || string(got.Body) != "done" || runs[id] != 1 {
						t.Errorf("order %s: %d %q, ran %d times", id, got.Status, got.Body, runs[id])
					}
				}
				f.finish()
			})
		})
	}
}

// Guards against requests whose answers nothing could tell from those of others.
func TestRequestWithoutIDIsRefused(t *testing.T) {
	s := startTarget(t, "a", ok)
	f := newGateway(t, s)
	if a := f.ask(context.Background(), "POST", "/once/x", "", time.Second, ""); a.Status != http.StatusBadRequest || s.count() != 0 {
		t.Errorf("%d, %d requests at the target", a.Status, s.count())
	}
}

// Guards against a health answer without an ID being taken from a connection that carries requests: it may be a foreign
// one.
func TestProbeHasAConnectionOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := make(map[*bufio.Writer][]string)
		s := &target{id: "a"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{s: func(w *bufio.Writer, r *http.Request, body string) bool {
			conns[w] = append(conns[w], r.URL.Path)
			if r.URL.Path != "/health" {
				return ok(w, r, body)
			}
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Target: a\r\nContent-Length: 0\r\n\r\n")
			return true
		}}), s)
		probed := f.options.Balancer.TargetsToProbe(time.Now(), "s", "r", 1, 0)
		for i := range 3 {
			f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), time.Second, "")
			if healthy, _, err := f.checkHealth(context.Background(), probed[0], "/health"); err != nil || !healthy {
				t.Errorf("healthy %v, %v", healthy, err)
			}
		}
		f.finish()
		for _, paths := range conns {
			if len(paths) > 1 && slices.Contains(paths, "/health") {
				t.Errorf("one connection carried %v", paths)
			}
		}
	})
}

// Guards against a target's status that stands for a refusal being passed on as a promise that the target has not made.
func TestStatusOfATargetIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &target{id: "a"}
				f := newGatewayOn(t, pipeDialer(map[*target]script{s: answering(status, stamp, whole, false)}), s)
				a := f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "")
				if a.Status != http.StatusBadGateway || a.Header.Get("X-Stamp") != "" || s.count() != 1 {
					t.Errorf("%d %v, %d requests at the target", a.Status, a.Header, s.count())
				}
				f.finish()
			})
		})
	}
}
