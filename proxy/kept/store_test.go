package kept

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// A key may be used anew a day after its order. Its answer must be gone long
// before, and give its memory back.
func TestAnswersAreForgottenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{MaxBytes: 1 << 20})
		key := keys.Key{Account: "daehan", Service: "dealer-desk", Text: "o-1"}
		entry, _ := s.Begin(key, Fingerprint{})
		s.End(entry, &Response{Answer: forward.Answer{Status: http.StatusOK, Body: []byte("ok")}})
		time.Sleep(DefaultRetention - time.Second)
		again, first := s.Begin(key, Fingerprint{})
		if answer, _, err := again.Wait(t.Context()); first || answer == nil || err != nil {
			t.Fatal("forgotten too early")
		}
		time.Sleep(time.Second)
		if _, first := s.Begin(key, Fingerprint{}); !first || s.Bytes() != 0 {
			t.Fatalf("kept too long, %d bytes", s.Bytes())
		}
	})
}
