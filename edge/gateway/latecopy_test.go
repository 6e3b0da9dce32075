package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/placing"
)

// runTime is how long a copyingTarget runs a request.
const runTime = 40 * time.Millisecond

// copyingTarget is a target that fails the first tries of each request with a fixed answer, and sends a
// second copy of that answer when the request comes over the same connection again, before it runs it.
type copyingTarget struct {
	failures int
	// first returns the answer to a try that fails.
	first func(r *http.Request) string

	mu    sync.Mutex
	tries map[string]int
	conns map[*bufio.Writer]map[string]bool
	// repeats counts the requests that came over the same connection again.
	repeats int
	runs    map[string]int
}

func newCopyingTarget(failures int, first func(r *http.Request) string) *copyingTarget {
	return &copyingTarget{
		failures: failures, first: first,
		tries: make(map[string]int), conns: make(map[*bufio.Writer]map[string]bool), runs: make(map[string]int),
	}
}

// refusal is an answer that states that the request did not run.
func refusal(r *http.Request) string {
	return answerHead(r, 503, "X-Not-Run: 1\r\n") + "Content-Length: 0\r\n\r\n"
}

// serverError is the answer to a run that failed.
func serverError(r *http.Request) string {
	return answerHead(r, 500, stamp) + "Content-Length: 0\r\n\r\n"
}

func (c *copyingTarget) answer(w *bufio.Writer, r *http.Request, body string) bool {
	id := r.Header.Get("X-Id")
	c.mu.Lock()
	c.tries[id]++
	fails := c.tries[id] <= c.failures
	if c.conns[w] == nil {
		c.conns[w] = make(map[string]bool)
	}
	repeated := c.conns[w][id]
	c.conns[w][id] = true
	if repeated {
		c.repeats++
	}
	if !fails {
		c.runs[id]++
	}
	c.mu.Unlock()
	if repeated {
		_, _ = io.WriteString(w, c.first(r))
		if w.Flush() != nil {
			return false
		}
	}
	if fails {
		_, _ = io.WriteString(w, c.first(r))
		return true
	}
	time.Sleep(runTime)
	return ok(w, r, body)
}

// check reports requests that ran more than once, and returns whether a request has run.
func (c *copyingTarget) check(t *testing.T) func(id string) bool {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.repeats > 0 {
		t.Errorf("%d requests came over the same connection again", c.repeats)
	}
	for id, n := range c.runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	return func(id string) bool { return c.runs[id] > 0 }
}

// A request that is sent to the same target again must not take the late second copy of the first answer for
// that of the second try: it would be reported as not run, or sent on, while the target runs it.
func TestLateCopyOfARefusalIsNotTheAnswerToARetry(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		for n := range 2 {
			t.Run(fmt.Sprint(path, " at targets: ", n+1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCopyingTarget(1, refusal)
					targets := []*target{{id: "a"}, {id: "b"}}[:n+1]
					scripts := make(map[*target]script)
					for _, s := range targets {
						scripts[s] = c.answer
					}
					f := newGatewayOn(t, pipeDialer(scripts), targets...)
					f.options.RetryExtra = 1000
					answers := make(map[string]int)
					for i := range 40 {
						id := fmt.Sprint(i)
						answers[id] = f.ask(context.Background(), "POST", path, id, 2*time.Second, "").Status
						// The late copies may be on their way.
						time.Sleep(time.Millisecond)
					}
					hasRun := c.check(t)
					for id, status := range answers {
						if status == http.StatusServiceUnavailable && hasRun(id) {
							t.Errorf("%s was answered %d and has run", id, status)
						}
					}
					f.finish()
				})
			})
		}
	}
}

// A caller or another VM may send the same request again: what the target still owes to the first try must
// not answer the second.
func TestLateCopyIsNotTheAnswerToARequestThatComesAgain(t *testing.T) {
	for name, first := range map[string]func(*http.Request) string{"refusal": refusal, "server error": serverError} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCopyingTarget(1, first)
				s := &target{id: "a"}
				f := newGatewayOn(t, pipeDialer(map[*target]script{s: c.answer}), s)
				f.options.RetryRatio, f.options.RetryExtra = 0, 0
				for i := range 20 {
					f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), 2*time.Second, "")
					in := f.keyedRequest("POST", "/once/x", fmt.Sprint(i), "", 2*time.Second, "")
					in.Header.Set(fieldVersion, "3")
					in.Header.Set(fieldReason, string(byReach))
					if a := f.HandleDelegated(context.Background(), in); a.Status != http.StatusOK {
						t.Errorf("request %d, second time: %d, want that of its own run", i, a.Status)
					}
				}
				c.check(t)
				f.finish()
			})
		})
	}
}

// An idempotent request whose first target refuses while a hedge is under way is sent once more: the third
// try must not take a late copy either.
func TestLateCopyIsNotTheAnswerToAHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		over := make(chan struct{})
		silent := func(*bufio.Writer, *http.Request, string) bool { <-over; return false }
		c := newCopyingTarget(1, refusal)
		bad, good := &target{id: "bad"}, &target{id: "good"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{bad: silent, good: c.answer}), bad, good)
		f.options.RetryExtra = 1000
		for i := range 20 {
			f.ask(context.Background(), "GET", "/safe/x", fmt.Sprint(i), 2*time.Second, "")
		}
		c.check(t)
		close(over)
		f.finish()
	})
}

// A health check must not take the late copy of an earlier one's answer: the target may have become unhealthy
// since.
func TestLateCopyOfAProbeIsNotTheAnswerToTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &target{id: "a"}
		healthy := func(r *http.Request) string {
			return answerHead(r, 200, "X-Target: a\r\n") + "Content-Length: 0\r\n\r\n"
		}
		var last *http.Request
		health := func(w *bufio.Writer, r *http.Request, _ string) bool {
			if last == nil {
				last = r
				_, _ = io.WriteString(w, healthy(r))
				return true
			}
			_, _ = io.WriteString(w, healthy(last))
			_, _ = io.WriteString(w, answerHead(r, 503, "X-Target: a\r\n")+"Content-Length: 0\r\n\r\n")
			return true
		}
		f := newGatewayOn(t, pipeDialer(map[*target]script{s: health}), s)
		d, _ := f.options.Balancer.Place(time.Now(), &placing.Request{
			Service: "s", Class: placing.NewClass(time.Second), Objective: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second),
		})
		for i, want := range []bool{true, false} {
			if healthy, _, err := f.checkHealth(context.Background(), d.Target, "/health"); err != nil || healthy != want {
				t.Errorf("probe %d: healthy %v, %v, want %v", i, healthy, err, want)
			}
		}
		f.finish()
	})
}

// A request that another VM gets twice, as that VM had an older configuration at first, must not take a late
// copy of the first answer.
func TestLateCopyIsNotTheAnswerOfARelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		declined := func(r *http.Request) string {
			return answerHead(r, 503, fieldDeclined+": "+otherVersion+"\r\n") + "Content-Length: 0\r\n\r\n"
		}
		c := newCopyingTarget(1, declined)
		peer := &target{id: "peer"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{peer: c.answer}), &target{id: "a"})
		f.setRelays(peer.address())
		f.cutOff()
		for i := range 10 {
			f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), 2*time.Second, "")
		}
		if len(c.runs) == 0 {
			t.Fatal("no request was relayed again")
		}
		c.check(t)
		for _, p := range f.ownerPools {
			p.Close()
		}
		f.finish()
	})
}

// The connections that retries open must stay within the limit of the pool.
func TestRetriesOpenFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopyingTarget(1, refusal)
		s := &target{id: "a"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{s: c.answer}), s)
		f.options.RetryExtra = 1000
		for i := range 200 {
			f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), 2*time.Second, "")
		}
		// One connection carries the first tries, one the second.
		if len(c.conns) > 2 {
			t.Errorf("%d connections for 200 requests, one after the other, want at most 2", len(c.conns))
		}
		f.finish()
	})
}

// Late copies of several earlier answers may precede the answer to a request. They must not end it while its
// target runs it.
func TestSeveralLateCopiesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const copies = 5
		s := &target{id: "a"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{s: func(w *bufio.Writer, r *http.Request, body string) bool {
			for i := range copies {
				_, _ = io.WriteString(w, fmt.Sprintf("HTTP/1.1 503 x\r\nX-Id: earlier-%d\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", i))
			}
			_ = w.Flush()
			time.Sleep(runTime)
			return ok(w, r, body)
		}}), s)
		for i := range 3 {
			if a := f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), 2*time.Second, ""); a.Status != http.StatusOK {
				t.Errorf("request %d: %d", i, a.Status)
			}
		}
		f.finish()
	})
}
