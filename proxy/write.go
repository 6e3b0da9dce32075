package proxy

import (
	"net/http"
	"strconv"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// writeRefusal gives the caller its final answer at once.
func writeRefusal(w http.ResponseWriter, r *refusal) {
	info := result.InfoOf(r.code)
	body := info.Name + ": " + info.Meaning + "\n"
	h := w.Header()
	setOutcome(h, info)
	if info.Retry {
		after := r.retryAfter
		if after <= 0 {
			after = retryAfterOf(r.code)
		}
		result.SetRetryAfter(h, after)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(sendableStatus(h, info.HTTP))
	_, _ = w.Write([]byte(body))
	flush(w)
}

// The fields of every answer of a target; they are only read.
var (
	okResult  = []string{strconv.Itoa(int(result.OK))}
	okOutcome = []string{result.Ran.String()}
)

// writeAnswer passes a target's whole answer on.
func writeAnswer(w http.ResponseWriter, end ending) {
	h := w.Header()
	forward.CopyHeader(h, end.answer.Header)
	h[result.HeaderResult] = okResult
	h[result.HeaderOutcome] = okOutcome
	h[result.HeaderPlace] = end.place
	h[result.HeaderTarget] = end.target
	if length := end.answer.ContentLengthHeader(); length != nil {
		h["Content-Length"] = length
	}
	w.WriteHeader(sendableStatus(h, end.answer.Status))
	if len(end.answer.Body) > 0 {
		// A write that fails means that the caller is gone.
		_, _ = w.Write(end.answer.Body)
	}
	flush(w)
}

func setOutcome(h http.Header, info result.Info) {
	h.Set(result.HeaderResult, strconv.Itoa(int(info.Code)))
	h.Set(result.HeaderOutcome, info.Outcome.String())
}

// sendableStatus returns the status to send. The HTTP library turns a status
// it has no name for into 200, which would make a failure look like success;
// such a status is sent as the first of its class and told in a field.
func sendableStatus(h http.Header, status int) int {
	const class = 100
	if http.StatusText(status) != "" {
		return status
	}
	h.Set(result.HeaderTargetStatus, strconv.Itoa(status))
	return max(status/class*class, http.StatusOK)
}

// flush hands the answer to the connection before the request counts as
// ended, so that a drain does not close the connection under it.
func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
