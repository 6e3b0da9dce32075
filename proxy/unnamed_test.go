package proxy

import (
	"io"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// Guards against a refusal that names no exchange, or two, being taken for a statement that an order did not run.
func TestRefusalThatNamesNoExchangeIsNoEvidence(t *testing.T) {
	for name, fields := range map[string]func(own string) string{
		"none":           func(string) string { return "" },
		"empty":          func(string) string { return "Yucca-Exchange:\r\n" },
		"two, own first": func(own string) string { return "Yucca-Exchange: " + own + "\r\nYucca-Exchange: 0\r\n" },
		"two, own last":  func(own string) string { return "Yucca-Exchange: 0\r\nYucca-Exchange: " + own + "\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			target := newScriptedTarget(t, func(c *scriptedConn) {
				if c.next() != nil {
					_, _ = io.WriteString(c.Conn, "HTTP/1.1 503 Busy\r\n"+fields(c.exchange)+"Yucca-Shed: 1\r\nContent-Length: 0\r\n\r\n")
				}
			})
			p := newTestProxy(t, nil, target.address())
			wantResult(t, callWithinGrant(p, "POST", "/orders", "x"), result.AnswerTruncated)
			target.wantRequests(t, 1)
		})
	}
}

// Guards against an answer with a malformed head being passed on, or counting as a refusal.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"success": "HTTP/1.1 200 OK\r\nX Odd: a\r\n", "refusal": "HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\nX Odd: a\r\n",
		"length": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", "status": "HTTP/1.1 600 x\r\n",
		"status 000": "HTTP/1.1 000 x\r\n\r\nHTTP/1.1 200 OK\r\n", "folded": "HTTP/1.1 200 OK\r\nX-A: a\r\n X-Odd: a\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newScriptedTarget(t, func(c *scriptedConn) {
				for c.next() != nil {
					c.respond(head + "Content-Length: 2\r\n\r\nok")
				}
			})
			p := newTestProxy(t, nil, target.address())
			wantResult(t, callWithinGrant(p, "POST", "/orders", "x"), result.AnswerTruncated)
			target.wantRequests(t, 1)
		})
	}
}
