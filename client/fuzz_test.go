package client

import (
	"context"
	"net/http"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// Whatever a look-up answer holds, the client neither panics nor takes an
// answer without an entry VM.
func FuzzParseLookup(f *testing.F) {
	f.Add([]byte(`{"revision":7,"lifetime_ms":30000,"entry_vms":[{"address":"a:1"}]}`))
	f.Add([]byte(`{"entry_vms":[null]}`))
	f.Add([]byte(`{"lifetime_ms":-1e300,"entry_vms":{}}`))
	f.Add([]byte(`[`))
	cache := newEntryCache(context.Background(), Options{}, nil, nil)
	f.Fuzz(func(t *testing.T, body []byte) {
		entries, err := cache.parse(body)
		if err == nil && len(entries.VMs) == 0 {
			t.Errorf("taken without an entry VM: %q", body)
		}
	})
}

// Only the exact words of an entry VM make an outcome certain.
func FuzzOutcome(f *testing.F) {
	f.Add("ran", "0", "10")
	f.Add("Ran", "0", "-1")
	f.Add("not-run", "99999999", "")
	f.Fuzz(func(t *testing.T, outcome, number, after string) {
		h := http.Header{result.HeaderOutcome: {outcome}, result.HeaderResult: {number}, result.HeaderRetryAfter: {after}}
		got, _, _ := outcomeOf(h)
		if got != result.Unknown && got.String() != outcome {
			t.Errorf("outcome %q read as %v", outcome, got)
		}
		if result.RetryAfter(h) < 0 {
			t.Errorf("retry after %q read as negative", after)
		}
	})
}
