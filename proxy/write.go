package proxy

import (
	"net/http"
	"strconv"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

func writeRefusal(w http.ResponseWriter, r *refusal) {
	info := result.InfoOf(r.code)
	body := info.Name + ": " + info.Meaning + "\n"
	h := w.Header()
	setOutcome(h, info)
	if info.Retry {
		after := r.retryAfter
		if after <= 0 {
			after = defaultRetryAfterFor(r.code)
		}
		result.SetRetryAfter(h, after)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(sendableStatus(h, info.HTTP))
	_, _ = w.Write([]byte(body))
	flush(w)
}

// The headers of every forwarded answer; they are never modified.
var (
	okResult  = []string{strconv.Itoa(int(result.OK))}
	okOutcome = []string{result.Ran.String()}
)

// writeAnswer forwards the complete answer of a target.
func writeAnswer(w http.ResponseWriter, resp response) {
	h := w.Header()
	forward.CopyHeader(h, resp.answer.Header)
	h[result.HeaderResult] = okResult
	h[result.HeaderOutcome] = okOutcome
	h[result.HeaderPlace] = resp.place
	h[result.HeaderTarget] = resp.target
	if length := resp.answer.ContentLengthHeader(); length != nil {
		h["Content-Length"] = length
	}
	w.WriteHeader(sendableStatus(h, resp.answer.Status))
	if len(resp.answer.Body) > 0 {
		// A write error means that the caller has disconnected.
		_, _ = w.Write(resp.answer.Body)
	}
	flush(w)
}

func setOutcome(h http.Header, info result.Info) {
	h.Set(result.HeaderResult, strconv.Itoa(int(info.Code)))
	h.Set(result.HeaderOutcome, info.Outcome.String())
}

// sendableStatus returns the status to send. The HTTP library replaces a status
// that it does not know by 200, so that a failure would look like a success;
// such a status is sent as the first of its class and reported in
// HeaderTargetStatus.
func sendableStatus(h http.Header, status int) int {
	const class = 100
	if http.StatusText(status) != "" {
		return status
	}
	h.Set(result.HeaderTargetStatus, strconv.Itoa(status))
	return max(status/class*class, http.StatusOK)
}

// flush hands the response to the connection before the request counts as
// ended, so that a drain does not close the connection first.
func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
