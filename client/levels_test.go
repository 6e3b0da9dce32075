package client

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// A request that an entry VM has retried in vain must not be sent to the next one: the retries of both
// levels would multiply.
func TestUnknownAnswerIsNotRepeated(t *testing.T) {
	codes := []result.Code{result.ConnectionLost, result.DeadlineAfterSend, result.AnswerTruncated, result.AnswerTooLarge, result.Internal}
	f := &fakeVMs{lookup: threeVMs, serve: func(_ string, n int) (*http.Response, error) {
		return answerOf(codes[n%len(codes)], "", 0), nil
	}}
	client := fakeClient(t, f)
	defer client.Close()
	const requests = 100
	for range requests {
		if answer, _ := client.Do(context.Background(), Request{Idempotent: true}); answer.Outcome != result.Unknown {
			t.Fatalf("outcome %v, want unknown", answer.Outcome)
		}
	}
	if len(f.sent) != requests {
		t.Errorf("%d sent for %d requests", len(f.sent), requests)
	}
}

// A look-up whose answer is lost or not an entry VM's must be sent to another entry VM, unless the
// answer was too large.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	cases := []struct {
		name  string
		first func() *http.Response
		sent  int
	}{
		{"cut", func() *http.Response { return answerOf(result.OK, "half", 8) }, 2},
		{"not from an entry VM", func() *http.Response {
			stray := answerOf(result.OK, "", 0)
			stray.Header = http.Header{}
			return stray
		}, 2},
		{"cut answer that says unknown", func() *http.Response { return answerOf(result.ConnectionLost, "half", 8) }, 1},
		{"too large", func() *http.Response { return answerOf(result.OK, strings.Repeat("x", 11), 11) }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeVMs{lookup: threeVMs, serve: func(_ string, n int) (*http.Response, error) {
				if n > 1 {
					return answerOf(result.OK, "", 0), nil
				}
				return c.first(), nil
			}}
			client := fakeClient(t, f)
			defer client.Close()
			client.options.MaxAnswerBytes = 10
			_, _ = client.Do(context.Background(), Request{Idempotent: true})
			if len(f.sent) != c.sent {
				t.Errorf("sent %d times, want %d", len(f.sent), c.sent)
			}
		})
	}
}

// Another entry VM must be asked in time when the first one does not answer, which must still be told
// the whole time that is left.
func TestSilentEntryVMLeavesTimeForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []string
		f := &fakeVMs{lookup: threeVMs}
		client := fakeClient(t, f)
		defer client.Close()
		client.transport = roundTrip(func(req *http.Request) (*http.Response, error) {
			if req.URL.Path == LookupPath {
				return f.RoundTrip(req)
			}
			told = append(told, req.Header.Get(result.HeaderDeadline))
			if req.URL.Host == "a:1" {
				httptrace.ContextClientTrace(req.Context()).GotConn(httptrace.GotConnInfo{})
				<-req.Context().Done()
				return nil, req.Context().Err()
			}
			return answerOf(result.OK, "", 0), nil
		})
		client.entries.transport = client.transport
		start := time.Now()
		answer, err := client.Do(context.Background(), Request{Idempotent: true, Deadline: time.Second})
		if err != nil || answer.Attempts != 2 || time.Since(start) != time.Second/2 {
			t.Errorf("%d attempts in %v, error %v; want 2 in 500 ms", answer.Attempts, time.Since(start), err)
		}
		if want := []string{"950", "450"}; !slices.Equal(told, want) {
			t.Errorf("deadlines told %v, want %v", told, want)
		}
	})
}

// roundTrip is a function as a transport.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }
