package proxy

import (
	"net/http"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

func TestWholeAnswerIsPassedOn(t *testing.T) {
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

// A dealer's order meets a connection that breaks in some way. The dealer is
// told "not run" only where the target cannot have seen the order; the second
// target is tried only then. Anything else would be a double shipment.
func TestOrderOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		script script
		want   result.Code
	}{
		{"closed after the request", func(c *scriptedConn) { c.next() }, result.ConnectionLost},
		{"cut within the head of the answer", answeringOnce("HTTP/1.1 200 OK\r\nContent-Le"), result.ConnectionLost},
		{"cut within the body of the answer", answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), result.AnswerTruncated},
		{"cut within a chunk", answeringOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal"), result.AnswerTruncated},
		{"cut before the last chunk", answeringOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), result.AnswerTruncated},
		{"end of the answer not marked", answeringOnce("HTTP/1.0 200 OK\r\n\r\nmaybe all"), result.AnswerTruncated},
		{"answer over the limit", answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), result.AnswerTooLarge},
		{"not HTTP", answeringOnce("SSH-2.0-x\r\n"), result.ConnectionLost},
		{"answer of another exchange", answeringOnce("HTTP/1.1 200 OK\r\nYucca-Exchange: none\r\nContent-Length: 2\r\n\r\nok"), result.AnswerTruncated},
		{"shed", answering("HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\nContent-Length: 0\r\n\r\n"), result.TargetShed},
		{"failed by the target", answering("HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n"), result.OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newScripted(t, c.script)
			p := newTestProxy(t, nil, target.address())
			wantResult(t, call(p, http.MethodPost, "/orders", "two pallets"), c.want)
			target.wantRequests(t, 1)
		})
	}
}
