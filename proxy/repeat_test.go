package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/kept"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
)

const testKeptBytes = 1 << 16

func withKeptAnswers(o *Options, m *model.Account) {
	withKeptAnswersIn(newStore())(o, m)
}

func withKeptAnswersIn(kv *faultkv.Store) func(*Options, *model.Account) {
	return func(o *Options, m *model.Account) {
		withKeys(kv, model.OutageRefuse)(o, m)
		o.KeptAnswerBytes = testKeptBytes
	}
}

// sendOrder sends an order with the key o-1 after applying change to it.
func sendOrder(ctx context.Context, p *Proxy, change func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders?gang=2", strings.NewReader("two pallets"))
	r.Header = http.Header{result.HeaderAccount: {testAccount}, result.HeaderService: {testService}, result.HeaderKey: {"o-1"}}
	r.Header.Set("Authorization", "dealer 1")
	change(r)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

func unchanged(*http.Request) {}

// A repeat through any node gets the original answer; a different request or
// sender with the same key must never read it.
func TestReplayRequiresSameRequestAndSender(t *testing.T) {
	target := newScriptedTarget(t, respondAlways("HTTP/1.1 201 Created\r\nLocation: /orders/17\r\nContent-Length: 8\r\n\r\norder 17"))
	kv := newStore()
	p := newTestProxy(t, withKeptAnswersIn(kv), target.address())
	first := sendOrder(t.Context(), p, unchanged)
	wantResult(t, first, result.OK)
	ask := func(ctx context.Context, vm string, key keys.Key, print kept.Fingerprint) (*kept.Response, result.Code) {
		if vm != p.options.Node.VM {
			return nil, result.Internal
		}
		return p.KeptAnswer(ctx, key, print)
	}
	another := func(o *Options, m *model.Account) {
		o.Node.VM = "entry-2"
		o.FetchAnswer = ask
		withKeptAnswersIn(kv)(o, m)
	}
	field := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	cases := []struct {
		name   string
		change func(*http.Request)
		want   result.Code
	}{
		{"repeat", unchanged, result.OK},
		{"repeat with less time left", field(result.HeaderDeadline, "700"), result.OK},
		{"repeat from another port", func(r *http.Request) { r.RemoteAddr = "192.0.2.1:9" }, result.OK},
		{"other authorization", field("Authorization", "dealer 2"), result.DuplicateKey},
		{"other token", field(result.HeaderToken, "t-2"), result.DuplicateKey},
		{"other address", func(r *http.Request) { r.RemoteAddr = "192.0.2.2:1234" }, result.DuplicateKey},
		{"other body", func(r *http.Request) { r.Body = http.NoBody; r.ContentLength = 0 }, result.KeyReused},
		{"other path", func(r *http.Request) { r.URL.Path = "/reservations" }, result.KeyReused},
		{"other query", func(r *http.Request) { r.URL.RawQuery = "gang=3" }, result.KeyReused},
		{"other method", func(r *http.Request) { r.Method = http.MethodPut }, result.KeyReused},
	}
	for _, c := range cases {
		check := func(t *testing.T, p *Proxy) {
			w := sendOrder(t.Context(), p, c.change)
			wantResult(t, w, c.want)
			foreign := strings.Contains(w.Body.String(), "order 17") || w.Header().Get("Location") != ""
			if c.want != result.OK && foreign {
				t.Errorf("got another request's answer: %v %s", w.Header(), w.Body)
			}
			if c.want == result.OK && (w.Code != first.Code || w.Body.String() != "order 17" || w.Header().Get("Location") != "/orders/17") {
				t.Errorf("not the original answer: %d %v %s", w.Code, w.Header(), w.Body)
			}
		}
		t.Run(c.name, func(t *testing.T) { check(t, p) })
		t.Run(c.name+", another entry VM", func(t *testing.T) { check(t, newTestProxy(t, another, target.address())) })
	}
	target.wantRequests(t, 1)
}

// A repeat waits for the original request in flight. If its own deadline ends
// first it must not be reported as not run.
func TestRepeatWaitsForOrderInFlight(t *testing.T) {
	target, release := newBlockedTarget(t)
	p := newTestProxy(t, withKeptAnswers, target.address())
	answers := make(chan *httptest.ResponseRecorder)
	go func() { answers <- sendOrder(context.Background(), p, unchanged) }()
	waitUntil(func() bool { return target.requests.Load() == 1 })
	late := sendOrder(t.Context(), p, func(r *http.Request) { r.Header.Set(result.HeaderDeadline, "1") })
	wantResult(t, late, result.DuplicateKey)
	go func() { answers <- sendOrder(context.Background(), p, unchanged) }()
	waitUntil(func() bool { return p.InFlight() == 2 })
	release()
	wantResult(t, <-answers, result.OK)
	wantResult(t, <-answers, result.OK)
	target.wantRequests(t, 1)
}

// A repeat of an order that was refused before it was sent must run.
func TestUnsentOrderRunsWhenRepeated(t *testing.T) {
	p, target := newServingProxy(t, withKeptAnswers)
	p.SetGrants(testGrants(2, 0))
	wantResult(t, sendOrder(t.Context(), p, unchanged), result.NoCapacity)
	p.SetGrants(testGrants(3, ampleRate))
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "two pallets", result.HeaderKey, "o-1"), result.OK)
	target.wantRequests(t, 1)
}

// An order refused for a key that another node recorded must not leave an
// entry: a repeat of the original order would be refused as different.
func TestRefusedOrderLeavesNoEntry(t *testing.T) {
	kv := newStore()
	target := newScriptedTarget(t, respondAlways(okAnswer))
	other := newTestProxy(t, withKeptAnswersIn(kv), target.address())
	p := newTestProxy(t, withKeptAnswersIn(kv), target.address())
	wantResult(t, sendOrder(t.Context(), other, unchanged), result.OK)
	second := sendOrder(t.Context(), p, func(r *http.Request) { r.Body = http.NoBody; r.ContentLength = 0 })
	wantResult(t, second, result.DuplicateKey)
	wantResult(t, sendOrder(t.Context(), p, unchanged), result.DuplicateKey)
	target.wantRequests(t, 1)
}

// A repeat of an order with an unknown outcome must be refused and not run
// again.
func TestRepeatOfUnknownOutcomeIsRefused(t *testing.T) {
	target := newScriptedTarget(t, respondOnce("HTTP/1.1 201 Created\r\nContent-Length: 8\r\n\r\nor"))
	p := newTestProxy(t, withKeptAnswers, target.address())
	wantResult(t, sendOrder(t.Context(), p, unchanged), result.AnswerTruncated)
	wantResult(t, sendOrder(t.Context(), p, unchanged), result.DuplicateKey)
	target.wantRequests(t, 1)
}

// Kept answers must stay within their memory limit; a repeat whose answer was
// evicted is refused.
func TestKeptAnswersAreBounded(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		orders int
	}{
		{"large", "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000), 1},
		{"many", okAnswer, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newTestProxy(t, withKeptAnswers, newScriptedTarget(t, respondAlways(c.answer)).address())
			for n := range c.orders {
				wantResult(t, sendOrder(t.Context(), p, func(r *http.Request) { r.Header.Set(result.HeaderKey, fmt.Sprintf("o-%d", n+1)) }), result.OK)
			}
			if n := p.kept.Bytes(); n > testKeptBytes {
				t.Errorf("%d bytes kept of %d", n, testKeptBytes)
			}
			wantResult(t, sendOrder(t.Context(), p, unchanged), result.DuplicateKey)
		})
	}
}
