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
		s := New(Options{Bytes: 1 << 20})
		key := keys.Key{Account: "daehan", Service: "dealer-desk", Text: "o-1"}
		entry, _ := s.Begin(key, Print{})
		s.End(entry, &Answer{Response: forward.Response{Status: http.StatusOK, Body: []byte("ok")}})
		time.Sleep(DefaultKeep - time.Second)
		again, first := s.Begin(key, Print{})
		if answer, _, err := again.Wait(t.Context()); first || answer == nil || err != nil {
			t.Fatal("forgotten too early")
		}
		time.Sleep(time.Second)
		if _, first := s.Begin(key, Print{}); !first || s.Bytes() != 0 {
			t.Fatalf("kept too long, %d bytes", s.Bytes())
		}
	})
}
