package kept

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// A response must be evicted after the retention time and release its memory.
func TestResponsesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{MaxBytes: 1 << 20})
		key := keys.Key{Account: "daehan", Service: "dealer-desk", Text: "o-1"}
		entry, _ := s.Begin(key, Fingerprint{})
		s.End(entry, &Response{Response: forward.Response{Status: http.StatusOK, Body: []byte("ok")}})
		time.Sleep(DefaultRetention - time.Second)
		repeated, first := s.Begin(key, Fingerprint{})
		if response, _, err := repeated.Wait(t.Context()); first || response == nil || err != nil {
			t.Fatal("response expired too early")
		}
		time.Sleep(time.Second)
		if _, first := s.Begin(key, Fingerprint{}); !first || s.Bytes() != 0 {
			t.Fatalf("response kept too long, %d bytes", s.Bytes())
		}
	})
}
