package result

import (
	"net/http"
	"testing"
	"time"
)

// A caller that knows only HTTP's own field must not come back early, and one
// that knows the finer field takes that one.
func TestRetryAfterIsToldInBothFields(t *testing.T) {
	h := make(http.Header)
	SetRetryAfter(h, 1200*time.Microsecond)
	if ms, seconds := h.Get(HeaderRetryAfter), h.Get(headerRetryAfterSeconds); ms != "2" || seconds != "1" {
		t.Errorf("%s ms, %s s", ms, seconds)
	}
	SetRetryAfter(h, 1001*time.Millisecond)
	if got := RetryAfter(h); got != 1001*time.Millisecond {
		t.Errorf("read as %s", got)
	}
	h.Del(HeaderRetryAfter)
	if got := RetryAfter(h); got != 2*time.Second {
		t.Errorf("HTTP's own field read as %s", got)
	}
	h.Set(headerRetryAfterSeconds, "Wed, 02 Dec 2026 20:00:00 GMT")
	if got := RetryAfter(h); got != 0 {
		t.Errorf("a date read as %s", got)
	}
}
