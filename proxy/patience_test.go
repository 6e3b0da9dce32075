package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// lookUp returns a look-up as it is before its first attempt.
func lookUp(p *Proxy) *request {
	account := p.current.Load().accounts[testAccount]
	return &request{
		account: account, service: account.services[testService], class: model.Idempotent,
		deadline: time.Now().Add(time.Hour),
	}
}

// A place is slow, as after a large move onto cold caches. To cut its requests
// off helps only a request that is then sent elsewhere: without another target
// or a retry in hand every attempt has all the time there is.
func TestSlowPlaceIsNotCutOff(t *testing.T) {
	target := newScripted(t, answering(okAnswer))
	alone := newTestProxy(t, nil, target.address())
	if q := lookUp(alone); q.patienceFor(onlyPlace(alone), 1).deadline != q.deadline {
		t.Fatal("cut off without another target")
	}
	two := newTestProxy(t, nil, target.address(), target.address())
	q := lookUp(two)
	first := q.patienceFor(onlyPlace(two), 1)
	if !first.reserved || !first.deadline.Before(q.deadline) {
		t.Fatal("a silent target costs the whole deadline")
	}
	if second := q.patienceFor(onlyPlace(two), 1); second.deadline != q.deadline || second.reserved {
		t.Fatal("cut off without a retry in hand")
	}
	q.unused(first)
	q.class = model.NonIdempotent
	if q.patienceFor(onlyPlace(two), 1).reserved {
		t.Fatal("an order is cut off")
	}
}

// Look-ups that need no retry leave the budget as it was.
func TestReservedRetryIsGivenBack(t *testing.T) {
	target := newScripted(t, answering(okAnswer))
	p := newTestProxy(t, func(_ *Options, m *model.Account) { m.Services[0].RetryBudget = 0.001 }, target.address(), target.address())
	for range 50 {
		call(p, http.MethodGet, "/stock", "")
	}
	if !lookUp(p).takeRetry() {
		t.Fatal("the budget is used up")
	}
}
