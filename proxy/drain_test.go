package proxy

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// An entry VM is stopped as planned while an upload is under way. The upload
// ends with its whole answer, new requests are refused as not run, and Drain
// returns only then.
func TestDrainEndsWorkInHand(t *testing.T) {
	target, release := newHeld(t)
	p := newTestProxy(t, nil, target.address())
	answer := make(chan *httptest.ResponseRecorder)
	go func() { answer <- call(p, http.MethodPost, "/orders", "scan") }()
	until(func() bool { return target.requests.Load() == 1 })
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	if err := p.Drain(expired); err == nil || p.InFlight() != 1 {
		t.Fatalf("drained with %d requests in hand, error %v", p.InFlight(), err)
	}
	wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.NodeLeaving)
	release()
	wantResult(t, <-answer, result.OK)
	if err := p.Drain(context.Background()); err != nil || p.InFlight() != 0 {
		t.Fatalf("%d requests in hand, error %v", p.InFlight(), err)
	}
	target.wantRequests(t, 1)
}

// A caller keeps its connection to a node that is leaving. With each answer the
// node ends the connection, so that no request is on its way to it at its exit.
func TestLeavingNodeEndsConnectionsWithTheAnswer(t *testing.T) {
	target, release := newHeld(t)
	p := newTestProxy(t, nil, target.address())
	s := serveCallers(t, p)
	inHand, inHandAnswer := dialCaller(t, s)
	late, lateAnswer := dialCaller(t, s)
	text := "POST /orders HTTP/1.1\r\n" + requestHead + "Content-Length: 1\r\n\r\nx"
	_, _ = io.WriteString(inHand, text)
	until(func() bool { return target.requests.Load() == 1 })
	p.gate.Close()
	_, _ = io.WriteString(late, text)
	wantLastAnswer(t, lateAnswer, "114")
	release()
	wantLastAnswer(t, inHandAnswer, "0")
}

// A planned stop nears its end and callers still use kept-alive connections. Each
// is served and its connection ends with the answer, also if that is a refusal,
// so that none is cut when the node exits.
func TestPartingNodeServesAndEndsConnections(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x"), result.OK)
	s := serveCallers(t, p)
	served, servedAnswer := dialCaller(t, s)
	refused, refusedAnswer := dialCaller(t, s)
	p.DisableKeepAlives()
	_, _ = io.WriteString(served, "POST /orders HTTP/1.1\r\n"+requestHead+"Content-Length: 1\r\n\r\nx")
	wantLastAnswer(t, servedAnswer, "0")
	_, _ = io.WriteString(refused, "POST /orders HTTP/1.1\r\nHost: entry\r\nContent-Length: 1\r\n\r\nx")
	wantLastAnswer(t, refusedAnswer, "100")
}

func wantLastAnswer(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if got := resp.Header.Get(result.HeaderResult); got != want || !resp.Close {
		t.Fatalf("result %s, connection to be closed %v", got, resp.Close)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("error %v after the last answer", err)
	}
}

// A second stop signal ends the node before its work. What was sent is told as
// unknown, what still waits as not run.
func TestCloseTellsTheTruth(t *testing.T) {
	target := newScripted(t, func(c *scriptedConn) {
		c.next()
		c.next()
	})
	p := newTestProxy(t, nil, target.address())
	answers := make(chan *httptest.ResponseRecorder, 8)
	for range cap(answers) {
		go func() { answers <- call(p, http.MethodPost, "/orders", "x") }()
	}
	until(func() bool { return target.requests.Load() == 3 && p.InFlight() == cap(answers) })
	p.Close()
	unknown, notRun := 0, 0
	for range cap(answers) {
		switch w := <-answers; w.Header().Get(result.HeaderOutcome) {
		case "unknown":
			unknown++
		case "not-run":
			notRun++
		default:
			t.Fatalf("headers %v", w.Header())
		}
	}
	if sent := int(target.requests.Load()); unknown != sent || notRun != cap(answers)-sent {
		t.Fatalf("%d sent, %d told unknown, %d told not run", sent, unknown, notRun)
	}
}

// A slot becomes free while the proxy ends its requests. The next request in
// line must not be sent on it.
func TestNothingIsSentAfterClose(t *testing.T) {
	for range 50 {
		target := newScripted(t, answering(okAnswer))
		p := newTestProxy(t, nil, target.address())
		p.endBase()
		wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x"), result.NodeLeaving)
		target.wantRequests(t, 0)
	}
}
