package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// newLookUp returns an idempotent request before its first attempt.
func newLookUp(p *Proxy) *request {
	account := p.current.Load().accounts[testAccount]
	return &request{
		account: account, service: account.services[testService], class: model.Idempotent,
		deadline: time.Now().Add(time.Hour),
	}
}

// An attempt must be cut short only if another target and a retry are
// available; otherwise a slow place would fail requests for nothing.
func TestAttemptTimeoutNeedsAnotherTarget(t *testing.T) {
	target := newScriptedTarget(t, respondAlways(okAnswer))
	alone := newTestProxy(t, nil, target.address())
	if q := newLookUp(alone); q.attemptTimeoutFor(onlyPlace(alone), 1).deadline != q.deadline {
		t.Fatal("attempt timeout without another target")
	}
	two := newTestProxy(t, nil, target.address(), target.address())
	q := newLookUp(two)
	first := q.attemptTimeoutFor(onlyPlace(two), 1)
	if !first.reserved || !first.deadline.Before(q.deadline) {
		t.Fatal("no attempt timeout although a retry is available")
	}
	if second := q.attemptTimeoutFor(onlyPlace(two), 1); second.deadline != q.deadline || second.reserved {
		t.Fatal("attempt timeout without a retry left")
	}
	q.returnRetry(first)
	q.class = model.NonIdempotent
	if q.attemptTimeoutFor(onlyPlace(two), 1).reserved {
		t.Fatal("attempt timeout for a non-idempotent request")
	}
}

// Requests that need no retry must leave the retry budget unchanged.
func TestUnusedRetryIsReturned(t *testing.T) {
	target := newScriptedTarget(t, respondAlways(okAnswer))
	p := newTestProxy(t, func(_ *Options, m *model.Account) { m.Services[0].RetryBudget = 0.001 }, target.address(), target.address())
	for range 50 {
		call(p, http.MethodGet, "/stock", "")
	}
	if !newLookUp(p).takeRetry() {
		t.Fatal("retry budget used up")
	}
}
