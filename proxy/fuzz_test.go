package proxy

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// FuzzCallerFields checks that every request ends in exactly one numbered
// result and, as there is no target, is reported as not run.
func FuzzCallerFields(f *testing.F) {
	f.Add("GET", "/stock", testAccount, testService, "100", "key-1")
	f.Add("POST", "/orders?x=%20", testAccount, testService, "-1", "a b")
	f.Add("CONNECT", "*", "", "", "99999999999999999999", "\x00")
	f.Add("get", "/stock/../orders", "nobody", testService, "0x10", "")
	f.Add("", "//", testAccount, "nothing", " 5", "\xff")
	p := newTestProxy(f, nil)
	f.Fuzz(func(t *testing.T, method, uri, account, service, deadline, key string) {
		u, err := url.ParseRequestURI(uri)
		if err != nil {
			return
		}
		r := &http.Request{Method: method, URL: u, Header: http.Header{}, Body: http.NoBody, RemoteAddr: uri}
		r.Header.Set(result.HeaderAccount, account)
		r.Header.Set(result.HeaderService, service)
		r.Header.Set(result.HeaderDeadline, deadline)
		r.Header.Set(result.HeaderKey, key)
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		if len(w.Header()[result.HeaderResult]) != 1 || w.Header().Get(result.HeaderOutcome) != "not-run" {
			t.Fatalf("headers %v", w.Header())
		}
		plain := u.RawPath == "" && plainPath(u.Path)
		if class := classOf(&testAccountModel().Services[0], r); class != model.NonIdempotent && !plain {
			t.Fatalf("%q counts as %s", uri, class)
		}
	})
}
