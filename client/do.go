package client

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// exchange is the course of one request over its attempts.
type exchange struct {
	client  *Client
	request *Request
	// tried holds the entry VMs used, and when each may be used again.
	tried    map[string]time.Time
	attempts int
	// refusedAt is the place that refused the request last, "" for none. A repeat
	// that is placed anew would move traffic beside the account's cap.
	refusedAt string
}

// Do sends a request and returns how it ended. The error is nil exactly when
// Answer.Outcome is Ran, which means that Answer.Body is the target's whole
// answer, whatever its status. Otherwise the error is an *OutcomeError and
// Answer.Outcome tells whether the request may have run.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(r.Deadline, c.options.Timeout))
	defer cancel()
	c.budget.Deposit(c.options.RetryShare)
	e := &exchange{client: c, request: &r, tried: make(map[string]time.Time)}
	last := e.run(ctx)
	last.answer.Attempts = e.attempts
	if last.answer.Outcome == result.Ran {
		return last.answer, nil
	}
	return last.answer, &OutcomeError{Outcome: last.answer.Outcome, Code: last.answer.Code, Cause: last.cause}
}

func (e *exchange) run(ctx context.Context) attempt {
	var last attempt
	// ranMaybe is set once an attempt of an idempotent request may have run;
	// a later refusal must not turn that into "not run".
	ranMaybe := false
	for {
		entry, err := e.choose(ctx)
		if err != nil {
			if e.attempts == 0 {
				return failedAttempt(Entry{}, result.NotRun, result.NoEntryVM, err)
			}
			break
		}
		last = e.send(ctx, entry)
		if last.answer.Outcome == result.Ran {
			return last
		}
		ranMaybe = ranMaybe || last.answer.Outcome == result.Unknown
		if !e.again(ctx, &last) {
			break
		}
	}
	if ranMaybe && last.answer.Outcome == result.NotRun {
		last.answer.Outcome = result.Unknown
		last.answer.Code = result.ConnectionLost
	}
	return last
}

func (e *exchange) send(ctx context.Context, entry Entry) attempt {
	e.attempts++
	e.tried[entry.Address] = time.Time{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var gaveUp atomic.Bool
	if timer := e.giveUpTimer(ctx, &gaveUp, cancel); timer != nil {
		defer timer.Stop()
	}
	a := e.client.attempt(ctx, entry, e.request, e.refusedAt)
	a.gaveUp = gaveUp.Load() && a.answer.Status == 0
	e.note(entry, &a)
	return a
}

// giveUpTimer ends an attempt of idempotent work at half of the time left, so
// that another entry VM can still answer.
//
// Guard against an entry VM that was paused: it accepts connections and never
// answers, and would use up the whole deadline. The entry VM is told the whole
// time, as it may make its callers wait for room. The retry is paid for before
// the attempt ends; without one left the wait goes on.
func (e *exchange) giveUpTimer(ctx context.Context, gaveUp *atomic.Bool, end context.CancelFunc) *time.Timer {
	deadline, ok := ctx.Deadline()
	if !ok || !e.request.Idempotent || e.attempts >= e.client.options.MaxAttempts {
		return nil
	}
	return time.AfterFunc(time.Until(deadline)/2, func() {
		if e.client.budget.Take() {
			gaveUp.Store(true)
			end()
		}
	})
}

// note remembers what the attempt tells about the entry VM.
func (e *exchange) note(entry Entry, a *attempt) {
	if errors.Is(a.cause, context.Canceled) && !a.gaveUp {
		return
	}
	e.tried[entry.Address] = time.Now().Add(a.answer.RetryAfter)
	e.refusedAt = cmp.Or(a.answer.Header.Get(result.HeaderRefusedPlace), e.refusedAt)
	silent := a.answer.Status == 0 && a.cause != nil
	service := e.request.Service
	switch {
	case silent, cannotServe(a.answer.Code):
		e.client.holds.failed(entry.Address)
		e.client.entries.refresh()
	case isShort(a.answer.Code):
		e.client.holds.short(entry.Address, service, a.answer.RetryAfter)
	case a.answer.Outcome == result.Ran:
		e.client.holds.served(entry.Address, service)
	}
}

// isShort reports whether an entry VM refuses for want of room of its own;
// another one may have it.
func isShort(code result.Code) bool {
	return code == result.NoCapacity || code == result.QueueFull || code == result.BufferFull
}

// again reports whether the request may be sent once more.
func (e *exchange) again(ctx context.Context, a *attempt) bool {
	if ctx.Err() != nil || e.attempts >= e.client.options.MaxAttempts {
		return false
	}
	if a.refused || a.gaveUp || cannotServe(a.answer.Code) {
		return true
	}
	if !e.mayRepeat(a) {
		return false
	}
	return e.client.budget.Take()
}

// cannotServe reports whether an entry VM refuses whatever it is sent, as it
// is leaving or has just started. Another one is tried at no cost to the retry
// budget: the targets have no less room for the request.
func cannotServe(code result.Code) bool {
	return code == result.NodeLeaving || code == result.NoPlan
}

// mayRepeat is the rule that keeps non-idempotent work at most once: a second
// entry VM gets it only if the first certainly did not let it run.
//
// Guard against retries at two levels: an entry VM that answers "unknown" has
// already sent an idempotent request to other targets as far as the service's
// retry budget permits. It shows as a failing place that gets several times
// the requests its callers make. The guard holds because a request is repeated
// here only when no entry VM said how it ended.
func (e *exchange) mayRepeat(a *attempt) bool {
	if a.answer.Outcome == result.NotRun {
		return result.InfoOf(a.answer.Code).Retry
	}
	return e.request.Idempotent && !a.answered
}
