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

// cutAfterRequest takes a request and closes the connection.
func cutAfterRequest(c *scriptedConn) { c.next() }

// refusingAddress returns an address nothing listens at.
func refusingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// One of two targets breaks connections. A dealer who looks up a price gets it
// from the other one; a dealer who orders is told "unknown", and the order is
// never sent to the second target.
func TestOnlyIdempotentWorkIsSentAgainAfterABreak(t *testing.T) {
	bad := newScripted(t, cutAfterRequest)
	good := newScripted(t, answering(okAnswer))
	p := newTestProxy(t, nil, bad.address(), good.address())
	for range 20 {
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.OK)
	}
	for _, path := range []string{"/orders", "/docs"} {
		for range 20 {
			sendOrderOnce(t, p, path, bad, good)
		}
		// The look-ups had the bad target ejected. The first choice of a new
		// proxy is any of the two.
		for met := bad.requests.Load(); bad.requests.Load() == met; {
			sendOrderOnce(t, newTestProxy(t, nil, bad.address(), good.address()), path, bad, good)
		}
	}
}

func sendOrderOnce(t *testing.T, p *Proxy, path string, a, b *scripted) {
	t.Helper()
	before := a.requests.Load() + b.requests.Load()
	w := callWithinGrant(p, http.MethodPost, path, "two pallets")
	if sent := a.requests.Load() + b.requests.Load() - before; sent != 1 {
		t.Fatalf("%s was sent %d times, result %s", path, sent, w.Header().Get(result.HeaderResult))
	}
}

// A target sheds an order before running it, or does not take the connection.
// That is certain, so the other target may run it.
func TestOrderGoesElsewhereWhenItSurelyDidNotRun(t *testing.T) {
	shedding := newScripted(t, answering(shedAnswer))
	good := newScripted(t, answering(okAnswer))
	for _, bad := range []string{shedding.address(), refusingAddress(t)} {
		p := newTestProxy(t, nil, bad, good.address())
		for range 20 {
			wantResult(t, call(p, http.MethodPost, "/orders", "two pallets"), result.OK)
		}
	}
	good.wantRequests(t, 40)
}

// A look-up may have run at one target and surely did not at the other. The
// caller must not be told "not run" because of the second attempt.
func TestUnknownIsNotForgottenOverALaterRefusal(t *testing.T) {
	for range 10 {
		cut := newScripted(t, cutAfterRequest)
		p := newTestProxy(t, nil, cut.address(), refusingAddress(t))
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.ConnectionLost)
	}
}

// All targets of a place fail. Retries must not multiply the load on them: they
// stay within the budget's share of the fresh requests.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	var addresses []string
	var targets []*scripted
	// Half of the targets may be ejected; the others must still be enough for
	// retries that the budget does not hold back.
	for range 6 {
		target := newScripted(t, answering(failedAnswer))
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
		t.Fatalf("%d requests sent for %d fresh ones", sent, fresh)
	}
}

// An answer is over the limit. Every other target would give the same one.
func TestTooLargeAnswerIsNotAskedForAgain(t *testing.T) {
	large := "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
	a, b := newScripted(t, answering(large)), newScripted(t, answering(large))
	p := newTestProxy(t, nil, a.address(), b.address())
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.AnswerTooLarge)
	if n := a.requests.Load() + b.requests.Load(); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

func TestNoRetryWithoutABudget(t *testing.T) {
	a := newScripted(t, cutAfterRequest)
	b := newScripted(t, cutAfterRequest)
	p := newTestProxy(t, func(_ *Options, m *model.Account) { m.Services[0].RetryBudget = 0 }, a.address(), b.address())
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.ConnectionLost)
	if n := a.requests.Load() + b.requests.Load(); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

// A target takes look-ups and never answers. The caller gets its answer from
// the other target long before its own deadline.
func TestSilentTargetDoesNotCostTheDeadline(t *testing.T) {
	silent := newScripted(t, func(c *scriptedConn) {
		c.next()
		c.next()
	})
	good := newScripted(t, answering(okAnswer))
	p := newTestProxy(t, nil, silent.address(), good.address())
	for i := range 6 {
		w := call(p, http.MethodGet, fmt.Sprintf("/stock/%d", i), "", result.HeaderDeadline, "60000")
		wantResult(t, w, result.OK)
	}
}

// A target says in its answer that it is leaving, while the VM list still shows
// it as live and goes on doing so. It gets no new work.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	leaving := newScripted(t, answering("HTTP/1.1 200 OK\r\nYucca-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
	good := newScripted(t, answering(okAnswer))
	p := newTestProxy(t, nil, leaving.address(), good.address())
	for range 50 {
		wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.OK)
		p.SetTargets(listOf(leaving.address(), good.address()))
	}
	if n := leaving.requests.Load(); n > 1 {
		t.Fatalf("the leaving target got %d requests", n)
	}
}

func TestListedAsLeavingGetsNoNewWork(t *testing.T) {
	a := newScripted(t, answering(okAnswer))
	b := newScripted(t, answering(okAnswer))
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
