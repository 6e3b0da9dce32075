package client

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/api/result"
)

func readAll(req *http.Request) ([]byte, error) { return io.ReadAll(req.Body) }

var errLost = errors.New("connection reset")

// fakeVMs answers for the entry VMs by address.
type fakeVMs struct {
	mu      sync.Mutex
	lookups int
	sent    []string
	lookup  func(n int) (string, error)
	serve   func(address string, n int) (*http.Response, error)
}

// RoundTrip implements http.RoundTripper.
func (f *fakeVMs) RoundTrip(req *http.Request) (*http.Response, error) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if req.URL.Path == LookupPath {
		f.lookups++
		body, err := f.lookup(f.lookups)
		if err != nil {
			return nil, err
		}
		return answerOf(result.OK, body, len(body)), nil
	}
	f.sent = append(f.sent, req.URL.Host)
	resp, err := f.serve(req.URL.Host, len(f.sent))
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && !isDial(err) {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return resp, err
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func answerOf(code result.Code, body string, length int) *http.Response {
	info := result.InfoOf(code)
	h := http.Header{}
	h.Set(result.HeaderResult, strconv.Itoa(int(code)))
	h.Set(result.HeaderOutcome, info.Outcome.String())
	return &http.Response{
		StatusCode: info.HTTP, Header: h, ContentLength: int64(length),
		Body: io.NopCloser(strings.NewReader(body)),
	}
}

func threeVMs(int) (string, error) {
	return `{"revision":7,"lifetime_ms":30000,"entry_vms":[{"address":"a:1"},{"address":"b:1"},{"address":"c:1"}]}`, nil
}

func dialError() error { return &net.OpError{Op: "dial", Err: errors.New("refused")} }

func fakeClient(t *testing.T, f *fakeVMs) *Client {
	t.Helper()
	options := Options{Account: "daehan", Nodes: []string{"a:1"}, Seed: 1}
	if err := options.complete(); err != nil {
		t.Fatal(err)
	}
	return newClient(options, f)
}

// A caller whose entry VM fails must be told what is known and no more, and an order that may have run
// must not reach a second entry VM.
func TestFailover(t *testing.T) {
	type reply struct {
		code result.Code
		err  error
	}
	refused, lost := reply{err: dialError()}, reply{err: errLost}
	cases := []struct {
		name       string
		idempotent bool
		replies    []reply
		sent       []string
		outcome    result.Outcome
	}{
		{"refused connection", false, []reply{refused, {}}, []string{"a:1", "b:1"}, result.Ran},
		{"leaving", false, []reply{{code: result.NodeLeaving}, {}}, []string{"a:1", "b:1"}, result.Ran},
		{"not run, no repeat", false, []reply{{code: result.RequestTooLarge}}, []string{"a:1"}, result.NotRun},
		{"order with unknown outcome", false, []reply{{code: result.ConnectionLost}}, []string{"a:1"}, result.Unknown},
		{"idempotent with unknown outcome", true, []reply{{code: result.ConnectionLost}}, []string{"a:1"}, result.Unknown},
		{"lost, then refused", true, []reply{lost, refused, refused}, []string{"a:1", "b:1", "c:1"}, result.Unknown},
		{"all refuse", false, []reply{refused, refused, refused}, []string{"a:1", "b:1", "c:1"}, result.NotRun},
		{"order lost", false, []reply{lost}, []string{"a:1"}, result.Unknown},
		{"idempotent lost", true, []reply{lost, {}}, []string{"a:1", "b:1"}, result.Ran},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeVMs{lookup: threeVMs, serve: func(_ string, n int) (*http.Response, error) {
				r := c.replies[n-1]
				return answerOf(r.code, "", 0), r.err
			}}
			client := fakeClient(t, f)
			defer client.Close()
			answer, _ := client.Do(context.Background(), Request{Idempotent: c.idempotent})
			if diff := cmp.Diff(c.sent, f.sent); diff != "" {
				t.Errorf("entry VMs used (-want +got):\n%s", diff)
			}
			if answer.Outcome != c.outcome {
				t.Errorf("outcome %v, want %v", answer.Outcome, c.outcome)
			}
		})
	}
}

// A farmer's list of free gangs breaks off half way. Shown as whole, it reads
// as if no other gang were free.
func TestCutAnswerIsNotWhole(t *testing.T) {
	f := &fakeVMs{lookup: threeVMs, serve: func(string, int) (*http.Response, error) {
		return answerOf(result.OK, "half", 8), nil
	}}
	client := fakeClient(t, f)
	defer client.Close()
	answer, err := client.Do(context.Background(), Request{})
	if err == nil || answer.Outcome != result.Unknown || answer.Code != result.AnswerTruncated || answer.Body != nil {
		t.Errorf("got %v %v body %q error %v, want unknown answer-truncated", answer.Outcome, answer.Code, answer.Body, err)
	}
}

// All nodes stop answering look-ups. Callers go on with the entry VMs they
// know, and ask at a bounded rate.
func TestLookupIsKeptWhenNoNodeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeVMs{serve: func(string, int) (*http.Response, error) { return answerOf(result.OK, "", 0), nil }}
		f.lookup = func(n int) (string, error) {
			if n > 1 {
				return "", dialError()
			}
			return threeVMs(n)
		}
		client := fakeClient(t, f)
		defer client.Close()
		for range 100 {
			if _, err := client.Do(context.Background(), Request{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			synctest.Wait()
		}
		// 100 s: one look-up, then one at each of the 3 addresses about every
		// second from 18..27 s on.
		if f.lookups < 50 || f.lookups > 3*100 {
			t.Errorf("%d look-ups, want some and at most 300", f.lookups)
		}
	})
}

// A node that lags answers a look-up from an older configuration, with an
// entry VM that was taken away since.
func TestOlderLookupIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeVMs{serve: func(string, int) (*http.Response, error) { return answerOf(result.OK, "", 0), nil }}
		f.lookup = func(n int) (string, error) {
			if n > 1 {
				return `{"revision":6,"lifetime_ms":30000,"entry_vms":[{"address":"gone:1"}]}`, nil
			}
			return threeVMs(n)
		}
		client := fakeClient(t, f)
		defer client.Close()
		for range 3 {
			if _, err := client.Do(context.Background(), Request{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Second)
			synctest.Wait()
		}
		if entries, _ := client.Entries(); entries.Revision != 7 || f.lookups < 2 {
			t.Errorf("revision %d after %d look-ups, want 7", entries.Revision, f.lookups)
		}
	})
}

// Every entry VM refuses. Retries on top of the fresh requests would push it
// further over; they stay within the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := &fakeVMs{lookup: threeVMs, serve: func(string, int) (*http.Response, error) {
		return answerOf(result.NoCapacity, "", 0), nil
	}}
	client := fakeClient(t, f)
	defer client.Close()
	const fresh = 1000
	for range fresh {
		if answer, _ := client.Do(context.Background(), Request{}); answer.Outcome != result.NotRun {
			t.Fatalf("outcome %v, want not-run", answer.Outcome)
		}
	}
	limit := fresh + maxSavedRetries + int(fresh*DefaultRetryShare)
	if len(f.sent) > limit {
		t.Errorf("%d requests sent for %d fresh ones, want at most %d", len(f.sent), fresh, limit)
	}
}

// An entry VM asks to come back in 5 s; a caller with 1 s left hears "not run"
// at once, and one with 10 s waits.
func TestRetryAfterIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeVMs{}
		f.lookup = func(int) (string, error) { return `{"lifetime_ms":60000,"entry_vms":[{"address":"a:1"}]}`, nil }
		f.serve = func(_ string, n int) (*http.Response, error) {
			if n > 2 {
				return answerOf(result.OK, "", 0), nil
			}
			refusal := answerOf(result.NoCapacity, "", 0)
			refusal.Header.Set(result.HeaderRetryAfter, "5000")
			return refusal, nil
		}
		client := fakeClient(t, f)
		defer client.Close()
		start := time.Now()
		if answer, _ := client.Do(context.Background(), Request{Deadline: time.Second}); answer.Outcome != result.NotRun {
			t.Errorf("outcome %v, want not-run", answer.Outcome)
		}
		if waited := time.Since(start); waited != 0 || len(f.sent) != 1 {
			t.Errorf("waited %v, sent %d; want 0 and 1", waited, len(f.sent))
		}
		if _, err := client.Do(context.Background(), Request{Deadline: 10 * time.Second}); err != nil {
			t.Error(err)
		}
		if waited := time.Since(start); waited < 5*time.Second || len(f.sent) != 3 {
			t.Errorf("waited %v, sent %d; want 5 s and 3", waited, len(f.sent))
		}
	})
}

// Callers must prefer another entry VM for a while after one had no capacity for them.
func TestShortEntryVMIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeVMs{lookup: threeVMs, serve: func(address string, _ int) (*http.Response, error) {
			if address != "a:1" {
				return answerOf(result.OK, "", 0), nil
			}
			refusal := answerOf(result.NoCapacity, "", 0)
			refusal.Header.Set(result.HeaderRetryAfter, "200")
			return refusal, nil
		}}
		client := fakeClient(t, f)
		defer client.Close()
		const requests = 500
		for range requests {
			if _, err := client.Do(context.Background(), Request{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		// 5 s hold 25 times 200 ms, and each costs one request sent twice.
		if len(f.sent) > requests+26 {
			t.Errorf("%d sent for %d requests, want at most 26 more", len(f.sent), requests)
		}
	})
}
