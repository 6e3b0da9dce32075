package gateway

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/accounts"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// Quota limits the requests of client accounts.
type Quota interface {
	// Take decides on one request of an account and returns when to try again if it is not
	// admitted. It may wait for a short time, until the context ends at the latest.
	Take(ctx context.Context, a *site.Account) (v quota.Verdict, retryAfter time.Duration)
	// TakeNow is Take without waiting.
	TakeNow(a *site.Account) bool
	// Return restores the admission of a request that did not run.
	Return(a *site.Account)
}

// unlimited is the Quota of a gateway without one.
type unlimited struct{}

func (unlimited) Take(context.Context, *site.Account) (quota.Verdict, time.Duration) {
	return quota.Admitted, 0
}
func (unlimited) TakeNow(*site.Account) bool { return true }
func (unlimited) Return(*site.Account)       {}

// staleRetryAfter is the Retry-After of a VM that cannot tell whether a key is valid.
const staleRetryAfter = 300 * time.Millisecond

// identify sets the account of a request. It returns the refusal of a request that needs a key and
// has no valid one.
func (g *Gateway) identify(r *request) (outcome, bool) {
	if r.fromPeer {
		// The VM that the caller is connected to has identified it.
		return outcome{}, true
	}
	index := g.accounts.Load()
	r.accounts = index
	if !index.Required() {
		return outcome{}, true
	}
	id, status := index.Identify(r.in.Header[g.options.Fields.APIKey])
	r.identity = id
	switch {
	case r.route.Public:
		return outcome{}, true
	case status == accounts.Known && !g.options.AccountsExpired():
		return outcome{}, true
	case status == accounts.Refused:
		return unusableAccountOutcome(), false
	case status == accounts.Removed:
		return outcome{code: result.KeyRemoved, reason: "key taken away"}, false
	case status == accounts.Unknown && g.options.ConfigCurrent():
		return outcome{code: result.UnknownKey, reason: "no key or an unknown one"}, false
	}
	// The key may be in a newer configuration, or no longer be valid.
	return outcome{code: result.ConfigStale, retryAfter: staleRetryAfter, reason: "configuration may be out of date"}, false
}

// withdrawn returns the refusal of a request whose key no longer belongs to the account that it was identified as,
// and true if that is so.
func (g *Gateway) withdrawn(r *request) (outcome, bool) {
	index := g.accounts.Load()
	switch {
	case index == r.accounts || r.identity.Account == nil || r.route.Public || index.Holds(r.identity):
		return outcome{}, false
	case index.Refuses(r.identity):
		return unusableAccountOutcome(), true
	}
	return outcome{code: result.KeyRemoved, reason: "key taken away while the request waited"}, true
}

// unusableRetryAfter is the Retry-After where the configuration has to change before a request can be served.
const unusableRetryAfter = 5 * time.Second

func unusableAccountOutcome() outcome {
	return outcome{code: result.UnusableConfig, retryAfter: unusableRetryAfter, reason: "account cannot be used as configured"}
}

func unusableRouteOutcome() outcome {
	return outcome{code: result.UnusableConfig, retryAfter: unusableRetryAfter, reason: "route cannot be used as configured"}
}

// admitByQuota takes one request from the quota of the account. It returns false and the refusal
// if the account is over its limit.
func (g *Gateway) admitByQuota(ctx context.Context, r *request) (outcome, bool) {
	if r.fromPeer || r.identity.Account == nil || r.route.Public {
		return outcome{}, true
	}
	began := time.Now()
	verdict, retryAfter := g.options.Quota.Take(ctx, r.identity.Account)
	r.log.quotaWait = time.Since(began)
	switch verdict {
	case quota.Admitted:
		r.admitted = true
		return outcome{}, true
	case quota.Exceeded:
		return outcome{code: result.OverQuota, retryAfter: retryAfter, reason: "account over its limit"}, false
	}
	return outcome{code: result.QuotaUnknown, retryAfter: retryAfter, reason: "no coordinator of the quota answers"}, false
}

// mayRepeat reports whether the account's quota allows another attempt of a request that may
// already have run. The VM that the caller is connected to decides on the first one.
func (g *Gateway) mayRepeat(r *request) bool {
	return r.identity.Account == nil || r.route.Public || g.options.Quota.TakeNow(r.identity.Account)
}

// returnQuota restores the quota of a request that certainly did not run.
func (g *Gateway) returnQuota(r *request, end outcome) {
	if r.admitted && result.InfoOf(end.code).Outcome == result.NotRun {
		g.options.Quota.Return(r.identity.Account)
	}
}

// accountName returns the client account of the request, "" if there is none.
func (r *request) accountName() string {
	if r.identity.Account == nil {
		return ""
	}
	return r.identity.Account.Name
}

// allowed returns which regions may run a request by its route and its account, nil if all may.
func (r *request) allowed() func(region string) bool {
	a := r.identity.Account
	switch {
	case a == nil || len(a.Regions) == 0:
		if len(r.route.Regions) == 0 {
			return nil
		}
		return r.route.Allows
	case len(r.route.Regions) == 0:
		return a.Allows
	}
	return func(region string) bool { return a.Allows(region) && r.route.Allows(region) }
}

// setAccountFields replaces what the caller sent in the fields that the system sets. Fields named
// by Connection are dropped here, so that a caller cannot have the system's own fields dropped.
func (g *Gateway) setAccountFields(r *request, h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	h.Del("Connection")
	for _, name := range append([]string{g.options.Fields.APIKey, g.options.Fields.Account}, delegatedFields...) {
		if name != "" {
			h.Del(name)
		}
	}
	if r.identity.Account != nil {
		h.Set(g.options.Fields.Account, r.identity.Account.Name)
	}
}

// AccountByID returns the account of the current configuration with an ID of package quota, nil if
// there is none.
func (g *Gateway) AccountByID(id uint32) *site.Account { return g.accounts.Load().ByID(id) }

// HasQuotas reports whether an account of the current configuration has a quota.
func (g *Gateway) HasQuotas() bool { return g.accounts.Load().HasQuotas() }
