package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is how much earlier than the target an idle connection is closed: the outcome
// of a request sent while the target closes the connection is unknown.
const idleMargin = 1500 * time.Millisecond

// keepAliveTimeout returns how long to keep an idle connection by the timeout of the target's
// Keep-Alive header, and false without one.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin), true
	}
	return 0, false
}
