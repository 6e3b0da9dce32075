package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// answerHead is the start of an answer to a request, with the fields that a target states.
func answerHead(r *http.Request, status int, stated string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nX-Id: %s\r\n%s", status, r.Header.Get("X-Id"), stated)
}

// answering returns a script whose answers are head and rest; closing ends the connection after one.
func answering(status int, stated, rest string, closing bool) script {
	return func(w *bufio.Writer, r *http.Request, _ string) bool {
		_, _ = w.WriteString(answerHead(r, status, stated) + rest)
		_ = w.Flush()
		return !closing
	}
}

// noLimits is a TargetLimits without limits.
type noLimits struct{}

func (noLimits) Now() time.Time                                { return time.Now() }
func (noLimits) Observe(ratelimit.Observation, time.Time) bool { return false }

// readTestStatement reads the fields X-Leaving and X-Rest.
func readTestStatement(_ int, h http.Header) (s site.Statement) {
	s.Leaving = h.Get("X-Leaving") != ""
	seconds, _ := strconv.Atoi(h.Get("X-Rest"))
	s.Rest = time.Duration(seconds) * time.Second
	return s
}

// newStatingGateway returns a gateway in virtual time that reads statements.
func newStatingGateway(t *testing.T, scripts map[*target]script, targets ...*target) *fixture {
	f := newGatewayOn(t, pipeDialer(scripts), targets...)
	f.options.ReadStatement, f.options.TargetLimits = readTestStatement, noLimits{}
	return f
}

// askSome sends requests one after the other that neither run into the deadline nor depend on keys.
func (f *fixture) askSome(n int, method, path string) {
	for i := range n {
		f.ask(context.Background(), method, path, fmt.Sprint(i), 2*time.Second, "")
	}
}

// finish ends all that a gateway in virtual time has begun.
func (f *fixture) finish() {
	time.Sleep(time.Second)
	f.closePools(nil)
	synctest.Wait()
}

// whole and stamp complete an answer.
const (
	stamp = "X-Stamp: s\r\n"
	whole = "Content-Length: 4\r\n\r\ndone"
)

// What a target states must count in whichever answer it does so: no request may reach it after that.
func TestEveryAnswerCountsForLeaving(t *testing.T) {
	const leaves = "X-Leaving: 1\r\n"
	for name, answer := range map[string]script{
		"success":            answering(200, leaves+stamp, whole, false),
		"server error":       answering(500, leaves+stamp, whole, false),
		"refusal":            answering(503, leaves+"X-Not-Run: 1\r\n", whole, false),
		"success, no stamp":  answering(200, leaves, whole, false),
		"body breaks off":    answering(200, leaves+stamp, "Content-Length: 40\r\n\r\ndo", true),
		"chunk is malformed": answering(200, leaves+stamp, "Transfer-Encoding: chunked\r\n\r\nxyz", true),
	} {
		for _, path := range []string{"/safe/x", "/once/x"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					bad, good := &target{id: "bad"}, &target{id: "good"}
					f := newStatingGateway(t, map[*target]script{bad: answer, good: ok}, bad, good)
					f.askSome(20, "POST", path)
					if bad.count() != 1 {
						t.Errorf("%d requests reached the leaving target, want one", bad.count())
					}
					if leaving, _ := f.options.Balancer.Statements(time.Now()); leaving != 1 {
						t.Errorf("%d targets leave, want one", leaving)
					}
					f.finish()
				})
			})
		}
	}
}

// The answer to a request whose caller leaves while the body arrives must count.
func TestAnswerToCallerThatLeavesCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(context.Background())
		bad := &target{id: "bad"}
		slow := func(w *bufio.Writer, r *http.Request, _ string) bool {
			_, _ = w.WriteString(answerHead(r, 200, "X-Leaving: 1\r\n"+stamp) + "Content-Length: 40\r\n\r\n")
			_ = w.Flush()
			time.AfterFunc(100*time.Millisecond, leave)
			time.Sleep(time.Second)
			return false
		}
		f := newStatingGateway(t, map[*target]script{bad: slow}, bad)
		f.ask(ctx, "POST", "/once/x", "1", 2*time.Second, "")
		f.askSome(5, "POST", "/once/x")
		if bad.count() != 1 {
			t.Errorf("%d requests reached the leaving target, want one", bad.count())
		}
		f.finish()
	})
}

// An answer of another target at the address must not count for the one that was meant.
func TestMisdirectedAnswerDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		misdirected := answering(421, "X-Leaving: 1\r\nX-Rest: 3\r\n", whole, false)
		other := &target{id: "other"}
		f := newStatingGateway(t, map[*target]script{other: misdirected}, other)
		f.askSome(1, "POST", "/once/x")
		if leaving, resting := f.options.Balancer.Statements(time.Now()); leaving+resting != 0 {
			t.Errorf("%d targets leave, %d rest", leaving, resting)
		}
		f.finish()
	})
}

// After a refusal that asks for a rest a target must get no requests until its end, also none of those
// that are repeated while most refuse, and must be used after it.
func TestRefusalThatAsksForRestCounts(t *testing.T) {
	const rest = 3 * time.Second
	for _, path := range []string{"/safe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				refuse := answering(503, "X-Not-Run: 1\r\nX-Rest: 3\r\n", whole, false)
				first, second := &target{id: "first"}, &target{id: "second"}
				f := newStatingGateway(t, map[*target]script{first: refuse, second: refuse}, first, second)
				began := time.Now()
				for i := 0; time.Since(began) < rest-100*time.Millisecond; i++ {
					f.ask(context.Background(), "POST", path, fmt.Sprint(i), 300*time.Millisecond, "")
					time.Sleep(50 * time.Millisecond)
				}
				if first.count() != 1 || second.count() != 1 {
					t.Errorf("%d and %d requests reached the targets before the end of their rest, want one each", first.count(), second.count())
				}
				time.Sleep(500 * time.Millisecond)
				f.askSome(2, "POST", path)
				if first.count()+second.count() < 3 {
					t.Error("no target is used after its rest")
				}
				f.finish()
			})
		})
	}
}

// A health check whose answer states something counts; that of another target does not.
func TestAnswerToProbeCounts(t *testing.T) {
	for id, want := range map[string]int{"bad": 1, "another": 0} {
		synctest.Test(t, func(t *testing.T) {
			bad := &target{id: "bad"}
			health := answering(503, "X-Target: "+id+"\r\nX-Leaving: 1\r\nX-Rest: 3\r\n", whole, false)
			f := newStatingGateway(t, map[*target]script{bad: health}, bad)
			d, _ := f.options.Balancer.Place(time.Now(), &placing.Request{
				Service: "s", Class: placing.NewClass(time.Second), Objective: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second),
			})
			_, _, _ = f.checkHealth(context.Background(), d.Target, "/health")
			if leaving, resting := f.options.Balancer.Statements(time.Now()); leaving != want || resting != want {
				t.Errorf("answer of %s: %d targets leave, %d rest, want %d", id, leaving, resting, want)
			}
			f.finish()
		})
	}
}

// A target that leaves or rests must not be probed: it would count as a request.
func TestStatingTargetIsNotProbed(t *testing.T) {
	for name, stated := range map[string]string{"leaves": "X-Leaving: 1\r\n", "rests": "X-Rest: 3\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bad := &target{id: "bad"}
				health := answering(503, "X-Target: bad\r\n"+stated, whole, false)
				f := newStatingGateway(t, map[*target]script{bad: health}, bad)
				dial := f.options.Dial
				f.options.Dial = pipeDialer(nil)
				f.askSome(1, "POST", "/once/x")
				f.closePools(nil)
				f.options.Dial = dial
				for range 25 {
					time.Sleep(100 * time.Millisecond)
					f.Probe(context.Background(), func(string) string { return "/health" })
				}
				synctest.Wait()
				if bad.count() != 1 {
					t.Errorf("%d probes, want one", bad.count())
				}
				f.finish()
			})
		})
	}
}

// An answer that the owner of a key passes back must count at the VM that the caller asked, which may
// not hear of the target otherwise. A rest concerns the owner alone.
func TestAnswerFromOwnerCounts(t *testing.T) {
	leaving := startTarget(t, "a", answering(200, "X-Leaving: 1\r\n"+stamp, whole, false))
	resting := startTarget(t, "a", answering(503, "X-Not-Run: 1\r\nX-Rest: 3\r\n", whole, false))
	for _, c := range []struct {
		target *target
		want   int
	}{{leaving, 1}, {resting, 0}} {
		entry, owner := newGateway(t, c.target), newGateway(t, c.target)
		for _, f := range []*fixture{entry, owner} {
			f.options.ReadStatement, f.options.TargetLimits = readTestStatement, noLimits{}
		}
		entry.setOwners(owner.servePeers(t))
		entry.Handle(context.Background(), entry.keyedRequest("POST", "/once/x", "7", entry.peerKey(t), time.Second, ""))
		if c.target.count() == 0 {
			t.Fatal("the owner sent no request")
		}
		if leaving, resting := entry.options.Balancer.Statements(time.Now()); leaving != c.want || resting != 0 {
			t.Errorf("%d targets leave, %d rest, want %d and none", leaving, resting, c.want)
		}
	}
}

// A caller whose request targets refused must be told when the first of them is back, also if the request
// is not sent again because the budget for that is used up.
func TestCallerOfRestingTargetsIsToldWhenTheyAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := answering(503, "X-Not-Run: 1\r\nX-Rest: 3\r\n", whole, false)
		first, second := &target{id: "first"}, &target{id: "second"}
		f := newStatingGateway(t, map[*target]script{first: refuse, second: refuse}, first, second)
		f.options.RetryRatio, f.options.RetryExtra = 0, 0
		for i := range 3 {
			a := f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), time.Second, "")
			after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
			if a.Status != http.StatusServiceUnavailable || err != nil || after < 2.9 || after > 9 {
				t.Errorf("request %d: %d, Retry-After %q", i, a.Status, a.Header.Get("Retry-After"))
			}
		}
		if first.count()+second.count() != 2 {
			t.Errorf("%d requests at the targets", first.count()+second.count())
		}
		f.finish()
	})
}
