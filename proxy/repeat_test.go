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

const testKept = 1 << 16

func withKept(o *Options, m *model.Account) {
	keptWith(newStore())(o, m)
}

func keptWith(kv *faultkv.Store) func(*Options, *model.Account) {
	return func(o *Options, m *model.Account) {
		withKeys(kv, model.OutageRefuse)(o, m)
		o.KeptAnswerBytes = testKept
	}
}

// send sends an order, changed, with the key o-1.
func send(ctx context.Context, p *Proxy, change func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders?gang=2", strings.NewReader("two pallets"))
	r.Header = http.Header{result.HeaderAccount: {testAccount}, result.HeaderService: {testService}, result.HeaderKey: {"o-1"}}
	r.Header.Set("Authorization", "dealer 1")
	change(r)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

func same(*http.Request) {}

// A dealer's line breaks under the confirmation of an order, and the dealer's
// client sends the order again, through the same entry VM or another one. It gets
// the confirmation. Another dealer by
// chance chose the same key, or a client uses one key for two orders: they must
// not read that confirmation, and must not be told that their order is in it.
func TestRepeatGetsTheFirstAnswerAndNobodyElseDoes(t *testing.T) {
	target := newScripted(t, answering("HTTP/1.1 201 Created\r\nLocation: /orders/17\r\nContent-Length: 8\r\n\r\norder 17"))
	kv := newStore()
	p := newTestProxy(t, keptWith(kv), target.address())
	first := send(t.Context(), p, same)
	wantResult(t, first, result.OK)
	ask := func(ctx context.Context, vm string, key keys.Key, print kept.Print) (*kept.Answer, result.Code) {
		if vm != p.options.Node.VM {
			return nil, result.Internal
		}
		return p.KeptAnswer(ctx, key, print)
	}
	another := func(o *Options, m *model.Account) {
		o.Node.VM = "entry-2"
		o.FetchAnswer = ask
		keptWith(kv)(o, m)
	}
	field := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	cases := []struct {
		name   string
		change func(*http.Request)
		want   result.Code
	}{
		{"repeat", same, result.OK},
		{"repeat with less time left", field(result.HeaderDeadline, "700"), result.OK},
		{"repeat from another port", func(r *http.Request) { r.RemoteAddr = "192.0.2.1:9" }, result.OK},
		{"other dealer", field("Authorization", "dealer 2"), result.DuplicateKey},
		{"other token", field(result.HeaderToken, "t-2"), result.DuplicateKey},
		{"other address", func(r *http.Request) { r.RemoteAddr = "192.0.2.2:1234" }, result.DuplicateKey},
		{"other body", func(r *http.Request) { r.Body = http.NoBody; r.ContentLength = 0 }, result.KeyReused},
		{"other path", func(r *http.Request) { r.URL.Path = "/reservations" }, result.KeyReused},
		{"other query", func(r *http.Request) { r.URL.RawQuery = "gang=3" }, result.KeyReused},
		{"other method", func(r *http.Request) { r.Method = http.MethodPut }, result.KeyReused},
	}
	for _, c := range cases {
		check := func(t *testing.T, p *Proxy) {
			w := send(t.Context(), p, c.change)
			wantResult(t, w, c.want)
			foreign := strings.Contains(w.Body.String(), "order 17") || w.Header().Get("Location") != ""
			if c.want != result.OK && foreign {
				t.Errorf("got another request's answer: %v %s", w.Header(), w.Body)
			}
			if c.want == result.OK && (w.Code != first.Code || w.Body.String() != "order 17" || w.Header().Get("Location") != "/orders/17") {
				t.Errorf("not the first answer: %d %v %s", w.Code, w.Header(), w.Body)
			}
		}
		t.Run(c.name, func(t *testing.T) { check(t, p) })
		t.Run(c.name+", another entry VM", func(t *testing.T) { check(t, newTestProxy(t, another, target.address())) })
	}
	target.wantRequests(t, 1)
}

// A dealer's client gives up on an order in hand and sends it again. The repeat
// waits for the answer, which is on its way; one whose time is over sooner, or
// whose caller leaves, must not read that the order did not run.
func TestRepeatWaitsForTheOrderInHand(t *testing.T) {
	target, release := newHeld(t)
	p := newTestProxy(t, withKept, target.address())
	answers := make(chan *httptest.ResponseRecorder)
	go func() { answers <- send(context.Background(), p, same) }()
	until(func() bool { return target.requests.Load() == 1 })
	late := send(t.Context(), p, func(r *http.Request) { r.Header.Set(result.HeaderDeadline, "1") })
	wantResult(t, late, result.DuplicateKey)
	go func() { answers <- send(context.Background(), p, same) }()
	until(func() bool { return p.InFlight() == 2 })
	release()
	wantResult(t, <-answers, result.OK)
	wantResult(t, <-answers, result.OK)
	target.wantRequests(t, 1)
}

// An order finds no grant, and its dealer sends it again. It must run: it is no
// repeat of one that ran.
func TestOrderThatWasNotSentRunsWhenRepeated(t *testing.T) {
	p, target := newServingProxy(t, withKept)
	p.SetGrants(testGrants(2, 0))
	wantResult(t, send(t.Context(), p, same), result.NoCapacity)
	p.SetGrants(testGrants(3, ampleRate))
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "two pallets", result.HeaderKey, "o-1"), result.OK)
	target.wantRequests(t, 1)
}

// An order ran through another entry VM. Its key is used for a second order here,
// which is refused; the first order's repeat must then not be told that it is
// another order than the one that ran.
func TestRefusedOrderIsNotComparedWith(t *testing.T) {
	kv := newStore()
	target := newScripted(t, answering(okAnswer))
	other := newTestProxy(t, keptWith(kv), target.address())
	p := newTestProxy(t, keptWith(kv), target.address())
	wantResult(t, send(t.Context(), other, same), result.OK)
	second := send(t.Context(), p, func(r *http.Request) { r.Body = http.NoBody; r.ContentLength = 0 })
	wantResult(t, second, result.DuplicateKey)
	wantResult(t, send(t.Context(), p, same), result.DuplicateKey)
	target.wantRequests(t, 1)
}

// The connection to the target breaks under an order. What became of it is not
// known; a repeat is told so at once and does not run it again.
func TestRepeatOfAnUnknownOrderIsRefused(t *testing.T) {
	target := newScripted(t, answeringOnce("HTTP/1.1 201 Created\r\nContent-Length: 8\r\n\r\nor"))
	p := newTestProxy(t, withKept, target.address())
	wantResult(t, send(t.Context(), p, same), result.AnswerTruncated)
	wantResult(t, send(t.Context(), p, same), result.DuplicateKey)
	target.wantRequests(t, 1)
}

// Kept answers must not take a node's memory: neither many, nor large ones, nor
// old ones. A repeat of an order whose answer is gone is refused as ever.
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
			p := newTestProxy(t, withKept, newScripted(t, answering(c.answer)).address())
			for n := range c.orders {
				wantResult(t, send(t.Context(), p, func(r *http.Request) { r.Header.Set(result.HeaderKey, fmt.Sprintf("o-%d", n+1)) }), result.OK)
			}
			if n := p.kept.Bytes(); n > testKept {
				t.Errorf("%d bytes kept of %d", n, testKept)
			}
			wantResult(t, send(t.Context(), p, same), result.DuplicateKey)
		})
	}
}
