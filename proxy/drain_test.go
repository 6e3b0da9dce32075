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

// Drain must let an upload in flight end with its answer, refuse new requests
// as not run, and return only afterwards.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	target, release := newBlockedTarget(t)
	p := newTestProxy(t, nil, target.address())
	answer := make(chan *httptest.ResponseRecorder)
	go func() { answer <- call(p, http.MethodPost, "/orders", "scan") }()
	waitUntil(func() bool { return target.requests.Load() == 1 })
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	if err := p.Drain(expired); err == nil || p.InFlight() != 1 {
		t.Fatalf("drained with %d requests in flight, error %v", p.InFlight(), err)
	}
	wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.NodeLeaving)
	release()
	wantResult(t, <-answer, result.OK)
	if err := p.Drain(context.Background()); err != nil || p.InFlight() != 0 {
		t.Fatalf("%d requests in flight, error %v", p.InFlight(), err)
	}
	target.wantRequests(t, 1)
}

// A leaving node must close caller connections with its responses, so that no
// request is sent on one when the node exits.
func TestLeavingNodeClosesCallerConnections(t *testing.T) {
	target, release := newBlockedTarget(t)
	p := newTestProxy(t, nil, target.address())
	s := startIngress(t, p)
	inFlight, inFlightReader := dialCaller(t, s)
	late, lateReader := dialCaller(t, s)
	text := "POST /orders HTTP/1.1\r\n" + requestHead + "Content-Length: 1\r\n\r\nx"
	_, _ = io.WriteString(inFlight, text)
	waitUntil(func() bool { return target.requests.Load() == 1 })
	p.gate.Close()
	_, _ = io.WriteString(late, text)
	wantClosingAnswer(t, lateReader, "114")
	release()
	wantClosingAnswer(t, inFlightReader, "0")
}

// After DisableKeepAlives requests are still served, and each response closes
// its connection, also if it is a refusal.
func TestDisableKeepAlivesServesAndClosesConnections(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x"), result.OK)
	s := startIngress(t, p)
	served, servedReader := dialCaller(t, s)
	refused, refusedReader := dialCaller(t, s)
	p.DisableKeepAlives()
	_, _ = io.WriteString(served, "POST /orders HTTP/1.1\r\n"+requestHead+"Content-Length: 1\r\n\r\nx")
	wantClosingAnswer(t, servedReader, "0")
	_, _ = io.WriteString(refused, "POST /orders HTTP/1.1\r\nHost: entry\r\nContent-Length: 1\r\n\r\nx")
	wantClosingAnswer(t, refusedReader, "100")
}

func wantClosingAnswer(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if got := resp.Header.Get(result.HeaderResult); got != want || !resp.Close {
		t.Fatalf("result %s, close %v", got, resp.Close)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("error %v after the last answer", err)
	}
}

// Close must report requests that were sent as unknown and queued ones as not
// run.
func TestCloseReportsOutcomes(t *testing.T) {
	target := newScriptedTarget(t, func(c *scriptedConn) {
		c.next()
		c.next()
	})
	p := newTestProxy(t, nil, target.address())
	answers := make(chan *httptest.ResponseRecorder, 8)
	for range cap(answers) {
		go func() { answers <- call(p, http.MethodPost, "/orders", "x") }()
	}
	waitUntil(func() bool { return target.requests.Load() == 3 && p.InFlight() == cap(answers) })
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
		t.Fatalf("%d sent, %d reported unknown, %d reported not run", sent, unknown, notRun)
	}
}

// A slot that becomes free while the proxy closes must not be used by a queued
// request.
func TestNothingIsSentAfterClose(t *testing.T) {
	for range 50 {
		target := newScriptedTarget(t, respondAlways(okAnswer))
		p := newTestProxy(t, nil, target.address())
		p.cancelBase()
		wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x"), result.NodeLeaving)
		target.wantRequests(t, 0)
	}
}
