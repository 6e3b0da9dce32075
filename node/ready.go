package node

import (
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// startRetryAfter is when a caller may come back to a node that has just
// started; learning what is in force takes about a second.
const startRetryAfter = time.Second

// whenReady refuses callers until the node knows what is in force.
//
// Guard against final refusals by a node that knows nothing yet: the VM list
// shows a restarted VM at once, and callers' cached answers name it too. It
// would answer that there is no such account, which callers take for final;
// this refusal sends them to another entry VM.
func (n *Node) whenReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.ready() {
			next.ServeHTTP(w, r)
			return
		}
		refuseNotReady(w)
	})
}

// ready reports whether the node knows what is in force and, since it started,
// has merged it. Documents that arrived are not in force until then: a caller of
// an account that waits for its merge would be told that there is none.
func (n *Node) ready() bool { return n.spread.Ready() && n.settled.Load() }

func refuseNotReady(w http.ResponseWriter) {
	info := result.InfoOf(result.NoPlan)
	body := info.Name + ": the node has just started\n"
	h := w.Header()
	h.Set(result.HeaderResult, strconv.Itoa(int(info.Code)))
	h.Set(result.HeaderOutcome, info.Outcome.String())
	result.SetRetryAfter(h, result.Spread(startRetryAfter))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(info.HTTP)
	_, _ = w.Write([]byte(body))
}
