package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/membership"
)

const (
	shedAnswer   = "HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	failedAnswer = "HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n"
)

// cutAfterRequest reads a request and closes the connection.
func cutAfterRequest(c *scriptedConn) { c.next() }

// refusingAddress returns an address where nothing listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// After a lost connection idempotent requests are retried at another target;
// others must never be sent twice.
func TestOnlyIdempotentRequestsAreRetriedAfterConnectionLoss(t *testing.T) {
	bad := newScriptedTarget(t, cutAfterRequest)
	good := newScriptedTarget(t, respondAlways(okAnswer))
	p := newTestProxy(t, nil, bad.address(), good.address())
	for range 20 {
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.OK)
	}
	for _, path := range []string{"/orders", "/docs"} {
		for range 20 {
			sendOrderOnce(t, p, path, bad, good)
		}
		// The idempotent requests had the bad target ejected. A new proxy may
		// choose either target first.
		for before := bad.requests.Load(); bad.requests.Load() == before; {
			sendOrderOnce(t, newTestProxy(t, nil, bad.address(), good.address()), path, bad, good)
		}
	}
}

func sendOrderOnce(t *testing.T, p *Proxy, path string, a, b *scriptedTarget) {
	t.Helper()
	before := a.requests.Load() + b.requests.Load()
	w := callWithinGrant(p, http.MethodPost, path, "two pallets")
	if sent := a.requests.Load() + b.requests.Load() - before; sent != 1 {
		t.Fatalf("%s was sent %d times, result %s", path, sent, w.Header().Get(result.HeaderResult))
	}
}

// An order that was shed, or got no connection, did not run and may be retried
// at another target.
func TestOrderIsRetriedIfItDidNotRun(t *testing.T) {
	shedding := newScriptedTarget(t, respondAlways(shedAnswer))
	good := newScriptedTarget(t, respondAlways(okAnswer))
	for _, bad := range []string{shedding.address(), refusingAddress(t)} {
		p := newTestProxy(t, nil, bad, good.address())
		for range 20 {
			wantResult(t, call(p, http.MethodPost, "/orders", "two pallets"), result.OK)
		}
	}
	good.wantRequests(t, 40)
}

// A second attempt that did not run must not turn an unknown outcome into not
// run.
func TestUnknownOutcomeOutlastsLaterRefusal(t *testing.T) {
	for range 10 {
		cut := newScriptedTarget(t, cutAfterRequest)
		p := newTestProxy(t, nil, cut.address(), refusingAddress(t))
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.ConnectionLost)
	}
}

// Retries must stay within the budget's share of the requests if all targets
// fail.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	var addresses []string
	var targets []*scriptedTarget
	// Half of the targets may be ejected; the others must be enough for retries
	// beyond the budget.
	for range 6 {
		target := newScriptedTarget(t, respondAlways(failedAnswer))
		targets = append(targets, target)
		addresses = append(addresses, target.address())
	}
	p := newTestProxy(t, func(_ *Options, m *model.Account) { m.Services[0].RetryBudget = 0.1 }, addresses...)
	const fresh = 200
	for range fresh {
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.OK)
	}
	sent := 0
	for _, target := range targets {
		sent += int(target.requests.Load())
	}
	if sent < fresh || sent > fresh+fresh/10+1 {
		t.Fatalf("%d requests sent for %d first requests", sent, fresh)
	}
}

// An answer above the limit must not be retried: other targets would give the
// same.
func TestTooLargeAnswerIsNotRetried(t *testing.T) {
	large := "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
	a, b := newScriptedTarget(t, respondAlways(large)), newScriptedTarget(t, respondAlways(large))
	p := newTestProxy(t, nil, a.address(), b.address())
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.AnswerTooLarge)
	if n := a.requests.Load() + b.requests.Load(); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

func TestNoRetryWithoutBudget(t *testing.T) {
	a := newScriptedTarget(t, cutAfterRequest)
	b := newScriptedTarget(t, cutAfterRequest)
	p := newTestProxy(t, func(_ *Options, m *model.Account) { m.Services[0].RetryBudget = 0 }, a.address(), b.address())
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.ConnectionLost)
	if n := a.requests.Load() + b.requests.Load(); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

// A target that never answers must not use up the deadline of idempotent
// requests.
func TestUnresponsiveTargetIsRetriedBeforeDeadline(t *testing.T) {
	silent := newScriptedTarget(t, func(c *scriptedConn) {
		c.next()
		c.next()
	})
	good := newScriptedTarget(t, respondAlways(okAnswer))
	p := newTestProxy(t, nil, silent.address(), good.address())
	for i := range 6 {
		w := call(p, http.MethodGet, fmt.Sprintf("/stock/%d", i), "", result.HeaderDeadline, "60000")
		wantResult(t, w, result.OK)
	}
}

// A target that announces in an answer that it is leaving gets no new requests,
// even if the VM list still shows it as live.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	leaving := newScriptedTarget(t, respondAlways("HTTP/1.1 200 OK\r\nYucca-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
	good := newScriptedTarget(t, respondAlways(okAnswer))
	p := newTestProxy(t, nil, leaving.address(), good.address())
	for range 50 {
		wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.OK)
		p.SetTargets(listOf(leaving.address(), good.address()))
	}
	if n := leaving.requests.Load(); n > 1 {
		t.Fatalf("the leaving target got %d requests", n)
	}
}

// A target whose answer breaks off after the header said that it leaves must get no new work.
func TestBrokenAnswerOfLeavingTargetCounts(t *testing.T) {
	leaving := newScriptedTarget(t, func(c *scriptedConn) {
		if c.next() != nil {
			c.respond("HTTP/1.1 200 OK\r\nYucca-Leaving: 1\r\nContent-Length: 20\r\n\r\nok")
		}
	})
	p := newTestProxy(t, nil, leaving.address())
	wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.AnswerTruncated)
	wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.NoTarget)
	leaving.wantRequests(t, 1)
}

func TestListedAsLeavingGetsNoNewWork(t *testing.T) {
	a := newScriptedTarget(t, respondAlways(okAnswer))
	b := newScriptedTarget(t, respondAlways(okAnswer))
	p := newTestProxy(t, nil, a.address(), b.address())
	list := listOf(a.address(), b.address())
	list.VMs[0].State = membership.StateLeaving
	p.SetTargets(list)
	for range 20 {
		wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.OK)
	}
	a.wantRequests(t, 0)
	list.VMs[1].State = membership.StateLeaving
	p.SetTargets(list)
	wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.NoTarget)
}
