package client

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// A place fails. Each entry VM sends a look-up to other targets as far as its
// retry budget permits and then answers "unknown". Callers that send the
// look-up to the next entry VM make it spend its budget on the same request:
// the failing place gets the retries of both levels, multiplied.
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

// An entry VM dies under its answer, or something else answers at its address.
// No entry VM has said how the look-up ended, so another one is asked; for an
// answer that is too large that would be of no use.
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
