package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is how much earlier than the target a connection is given up: a
// request that crosses the target's close ends as unknown.
const idleMargin = 1500 * time.Millisecond

// keepAliveTimeout returns how long an idle connection may be kept, by what the target
// says about closing it.
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
