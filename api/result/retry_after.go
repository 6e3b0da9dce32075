package result

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// headerRetryAfterSeconds is HTTP's own field; it has whole seconds only, which
// are too coarse for callers that can come back within milliseconds.
const headerRetryAfterSeconds = "Retry-After"

// SetRetryAfter tells when to come back: HeaderRetryAfter in milliseconds, and
// HTTP's own Retry-After, rounded up to seconds, for callers that know only
// that. Both are at least 1.
func SetRetryAfter(h http.Header, after time.Duration) {
	h.Set(HeaderRetryAfter, strconv.FormatInt(max(1, ceil(after, time.Millisecond)), 10))
	h.Set(headerRetryAfterSeconds, strconv.FormatInt(max(1, ceil(after, time.Second)), 10))
}

// RetryAfter returns when to come back, by HeaderRetryAfter or else by HTTP's
// own field; 0 if neither tells.
func RetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseUint(h.Get(HeaderRetryAfter), 10, 31); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.ParseUint(h.Get(headerRetryAfterSeconds), 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// Spread returns a random time from d to twice d, so that callers that are
// refused together don't come back together.
func Spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d)
}

func ceil(d, unit time.Duration) int64 { return int64((d + unit - 1) / unit) }
