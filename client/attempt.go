package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// maxAnswerTravel is the most that is taken off a deadline for the way back.
const maxAnswerTravel = 50 * time.Millisecond

// errAnswerTooLarge tells that the body is over Options.MaxAnswerBytes.
var errAnswerTooLarge = errors.New("answer too large")

// errAnswerUnbounded tells that the answer has neither a length nor chunks, so
// that its end cannot be told from a cut.
var errAnswerUnbounded = errors.New("answer without a length")

// attempt is one exchange with one entry VM.
type attempt struct {
	answer Answer
	cause  error
	// refused tells that no connection could be opened.
	refused bool
	// gaveUp tells that the client ended the attempt and has paid for the next.
	gaveUp bool
	// answered tells that an entry VM said how the request ended, and that
	// another one would have nothing better to say.
	answered bool
}

// attempt sends a request; refusedAt is the place that refused it before, if any.
func (c *Client) attempt(ctx context.Context, entry Entry, r *Request, refusedAt string) attempt {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), r.Method, entry.Address, r.Path, r.Body)
	if err != nil {
		return failedAttempt(entry, result.NotRun, result.BadRequest, err)
	}
	setHeaders(ctx, req, r, c.options)
	if refusedAt != "" {
		req.Header.Set(result.HeaderRefusedPlace, refusedAt)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return lostAttempt(ctx, entry, sent.Load(), err)
	}
	defer resp.Body.Close()
	return c.readAnswer(ctx, entry, resp)
}

func setHeaders(ctx context.Context, req *http.Request, r *Request, options Options) {
	for name, values := range r.Header {
		req.Header[name] = append([]string(nil), values...)
	}
	req.Header.Set(result.HeaderAccount, string(options.Account))
	req.Header.Set(result.HeaderService, string(r.Service))
	if r.Key != "" {
		req.Header.Set(result.HeaderKey, r.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, deadlineToSend(time.Until(deadline)).Milliseconds())
		req.Header.Set(result.HeaderDeadline, strconv.FormatInt(left, 10))
	}
}

// deadlineToSend takes off the time in which the entry VM's own answer travels
// back: an entry VM that gives up at the deadline can tell whether the request
// ran, and the caller must still be there to hear it.
func deadlineToSend(left time.Duration) time.Duration {
	return left - min(maxAnswerTravel, left/10)
}

// lostAttempt classifies an exchange that brought no answer header. It is not
// run with certainty only when the request had no connection to go out on.
func lostAttempt(ctx context.Context, entry Entry, sent bool, err error) attempt {
	if !sent {
		a := failedAttempt(entry, result.NotRun, result.ConnectFailed, err)
		if ctx.Err() != nil {
			a.answer.Code = result.DeadlineBeforeSend
		}
		var op *net.OpError
		a.refused = errors.As(err, &op) && op.Op == "dial"
		return a
	}
	if ctx.Err() != nil {
		return failedAttempt(entry, result.Unknown, result.DeadlineAfterSend, err)
	}
	return failedAttempt(entry, result.Unknown, result.ConnectionLost, err)
}

func failedAttempt(entry Entry, outcome result.Outcome, code result.Code, cause error) attempt {
	return attempt{answer: Answer{Outcome: outcome, Code: code, Entry: entry}, cause: cause}
}

// readAnswer reads the answer whole. Guard against a cut answer passed off as
// whole: it shows as a body that ends early; net/http reports that for a body
// with a length or with chunks, and other bodies are not accepted.
func (c *Client) readAnswer(ctx context.Context, entry Entry, resp *http.Response) attempt {
	outcome, code, known := outcomeOf(resp.Header)
	a := attempt{answered: known, answer: Answer{
		Outcome: outcome, Code: code, Status: resp.StatusCode, Header: resp.Header,
		Entry: entry, RetryAfter: result.RetryAfter(resp.Header),
	}}
	body, err := readWhole(resp, c.options.MaxAnswerBytes)
	if err == nil {
		a.answer.Body = body
		return a
	}
	if outcome == result.NotRun {
		return a
	}
	a.cause = err
	// The rest of a good answer was lost on the way from the entry VM, but for
	// one that is too large, which it would be from every entry VM.
	lost := outcome == result.Ran && !errors.Is(err, errAnswerTooLarge)
	a.answered = known && !lost
	a.answer.Outcome = result.Unknown
	a.answer.Code = truncationCode(ctx, err)
	return a
}

func truncationCode(ctx context.Context, err error) result.Code {
	if errors.Is(err, errAnswerTooLarge) {
		return result.AnswerTooLarge
	}
	if ctx.Err() != nil {
		return result.DeadlineAfterSend
	}
	return result.AnswerTruncated
}

func readWhole(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errAnswerUnbounded
	}
	if resp.ContentLength > limit {
		return nil, errAnswerTooLarge
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errAnswerTooLarge
	}
	return body, err
}

// outcomeOf reads what the entry VM said. An answer without the headers did
// not come from an entry VM: nothing is known.
func outcomeOf(h http.Header) (outcome result.Outcome, code result.Code, known bool) {
	number, err := strconv.ParseUint(h.Get(result.HeaderResult), 10, 16)
	if err != nil {
		return result.Unknown, result.Internal, false
	}
	code = result.Code(number)
	switch h.Get(result.HeaderOutcome) {
	case result.Ran.String():
		return result.Ran, code, true
	case result.NotRun.String():
		return result.NotRun, code, true
	default:
		return result.Unknown, code, true
	}
}
