package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

func TestCompleteAnswerIsForwarded(t *testing.T) {
	p, target := newServingProxy(t, nil)
	for range 3 {
		w := call(p, http.MethodPost, "/orders", "two pallets")
		wantResult(t, w, result.OK)
		if w.Code != http.StatusOK || w.Body.String() != "ok" {
			t.Fatalf("answer %d %q", w.Code, w.Body.String())
		}
		if w.Header().Get(result.HeaderTarget) != "target-a" || w.Header().Get(result.HeaderPlace) != testPlace {
			t.Fatalf("headers %v", w.Header())
		}
	}
	target.wantRequests(t, 3)
}

// A non-idempotent request whose connection fails must be reported as not run
// only if the target cannot have processed it, and must not be sent twice.
func TestOrderOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		script script
		want   result.Code
	}{
		{"closed after the request", func(c *scriptedConn) { c.next() }, result.ConnectionLost},
		{"cut within the head of the answer", respondOnce("HTTP/1.1 200 OK\r\nContent-Le"), result.ConnectionLost},
		{"cut within the body of the answer", respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), result.AnswerTruncated},
		{"cut within a chunk", respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal"), result.AnswerTruncated},
		{"cut before the last chunk", respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), result.AnswerTruncated},
		{"end of the answer not marked", respondOnce("HTTP/1.0 200 OK\r\n\r\nmaybe all"), result.AnswerTruncated},
		{"answer over the limit", respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), result.AnswerTooLarge},
		{"not HTTP", respondOnce("SSH-2.0-x\r\n"), result.ConnectionLost},
		{"answer of another exchange", respondOnce("HTTP/1.1 200 OK\r\nYucca-Exchange: none\r\nContent-Length: 2\r\n\r\nok"), result.AnswerTruncated},
		{"shed", respondAlways("HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\nContent-Length: 0\r\n\r\n"), result.TargetShed},
		{"failed by the target", respondAlways("HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n"), result.OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newScriptedTarget(t, c.script)
			p := newTestProxy(t, nil, target.address())
			wantResult(t, call(p, http.MethodPost, "/orders", "two pallets"), c.want)
			target.wantRequests(t, 1)
		})
	}
}

// A late second copy of a refusal must not report another order as not run while the target runs it.
func TestLateCopyOfARefusalIsNotTheAnswerToTheNextOrder(t *testing.T) {
	refusal := func(r *http.Request) string {
		return "HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\n" + result.HeaderExchange + ": " + r.Header.Get(result.HeaderExchange) +
			"\r\nContent-Length: 0\r\n\r\n"
	}
	// The second order may come over another connection that was opened in advance.
	var first atomic.Pointer[http.Request]
	target := newScriptedTarget(t, func(c *scriptedConn) {
		for r := c.next(); r != nil; r = c.next() {
			first.CompareAndSwap(nil, r)
			c.respond(refusal(first.Load()))
		}
	})
	p := newTestProxy(t, nil, target.address())
	wantResult(t, call(p, http.MethodPost, "/orders", "two pallets"), result.TargetShed)
	wantResult(t, call(p, http.MethodPost, "/orders", "two pallets"), result.AnswerTruncated)
	target.wantRequests(t, 2)
}
