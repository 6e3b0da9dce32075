package target

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/api/wait"
)

// noToken stands in the answer to a request without a token.
const noToken = "-"

// serveWork runs one request, or sheds it with certainty that it did not run.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if exchange := r.Header.Get(result.HeaderExchange); exchange != "" {
		h.Set(result.HeaderExchange, exchange)
	}
	h.Set(result.HeaderLoad, strconv.Itoa(t.reportedLoad()))
	if t.leaving.Load() {
		h.Set(result.HeaderLeaving, "1")
		shed(w)
		return
	}
	ctx, cancel := t.workContext(w, r)
	defer cancel()
	faults := t.faults.Load()
	if faults.Silent {
		t.ledger.record(r.Header.Get(result.HeaderToken))
		<-ctx.Done()
		hangUp(w)
		return
	}
	if faults.FailFast {
		t.ledger.record(r.Header.Get(result.HeaderToken))
		t.answer(w, r, http.StatusInternalServerError)
		return
	}
	if t.slots.enter(ctx) != nil {
		shed(w)
		return
	}
	defer t.slots.leave()
	t.ledger.record(r.Header.Get(result.HeaderToken))
	wait.For(ctx, t.duration(w, faults))
	t.answer(w, r, http.StatusOK)
}

// workContext ends with the sender's deadline, when the sender closes the
// connection and with the target.
func (t *Target) workContext(w http.ResponseWriter, r *http.Request) (context.Context, context.CancelFunc) {
	ctx, stopWatch := watch(t.base, w)
	ms, err := strconv.ParseInt(r.Header.Get(result.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return ctx, stopWatch
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	return ctx, func() {
		cancel()
		stopWatch()
	}
}

// duration returns how long the next request runs.
func (t *Target) duration(w http.ResponseWriter, f *Faults) time.Duration {
	d := float64(t.options.ServiceTime) * t.spread()
	n := t.served.Add(1)
	if cold := int64(t.options.ColdRequests); n <= cold && t.options.ColdFactor > 1 {
		left := float64(cold-n+1) / float64(cold)
		d *= 1 + (t.options.ColdFactor-1)*left
	}
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	if t.connections.first(w) {
		d += float64(t.options.ConnectionCost)
	}
	return time.Duration(d)
}

func (t *Target) spread() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 1 + t.options.Spread*(2*t.random.Float64()-1)
}

// answer begins and ends with the token, so that a cut or a mixture shows.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, status int) {
	token := r.Header.Get(result.HeaderToken)
	if token == "" {
		token = noToken
	}
	w.Header().Set(result.HeaderLoad, strconv.Itoa(t.reportedLoad()))
	w.Header().Set(result.HeaderToken, token)
	writeText(w, status, fmt.Sprintf("%s\n%d\n%s\n", token, r.ContentLength, token))
}

// hangUp closes the connection without an answer. A handler that only returns
// makes the library answer 200 with an empty body, at the very moment at which
// the sender gives up: now and then the sender would take that for the answer.
func hangUp(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		_ = conn.Close()
	}
}

// shed refuses a request that did not run.
func shed(w http.ResponseWriter) {
	w.Header().Set(result.HeaderShed, "1")
	writeText(w, http.StatusServiceUnavailable, "shed\n")
}
