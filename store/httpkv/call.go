package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/wire"
)

// operation is one kind of call.
type operation struct {
	path    string
	writes  bool
	urgent  bool
	timeout time.Duration
}

// lost is what may be concluded when the request may have reached the service
// and no usable answer came.
func (op operation) lost(cause error) error {
	if op.writes {
		return errors.WithMessage(store.ErrUnknown, cause.Error())
	}
	return errors.WithMessage(store.ErrUnavailable, cause.Error())
}

// notSent is what may be concluded when no byte of the request was written.
func notSent(cause error) error {
	return errors.WithMessage(store.ErrUnavailable, cause.Error())
}

// call sends one request and decodes its answer.
func (c *Client) call(ctx context.Context, op operation, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return notSent(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, op.timeout)
	defer cancel()
	t, err := c.turn(callCtx, op)
	if err != nil {
		return notSent(err)
	}
	err = c.exchange(callCtx, op, body, answer)
	c.report(ctx, t.round, err)
	c.pacer.endProbe(t)
	return err
}

// turn returns when the call may be sent, or an error when it must not be.
func (c *Client) turn(ctx context.Context, op operation) (turn, error) {
	if store.IsPrompt(ctx) {
		return c.pacer.admit()
	}
	return c.pacer.wait(ctx, op.urgent)
}

// report tells the pacer how the call went. A call that its caller gave up
// says nothing about the service.
func (c *Client) report(ctx context.Context, round uint64, err error) {
	failed := errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrUnavailable)
	switch {
	case !failed:
		c.pacer.succeeded()
	case !errors.Is(ctx.Err(), context.Canceled):
		c.pacer.failed(round)
	}
}

func (c *Client) exchange(ctx context.Context, op operation, body []byte, answer any) error {
	var connected atomic.Bool
	request, err := newRequest(trace(ctx, &connected), c.base+op.path, body)
	if err != nil {
		return notSent(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		// Before the request has a connection no byte of it was written. From
		// then on, bytes may have left even if the library reports that the
		// write failed.
		if !connected.Load() {
			return notSent(err)
		}
		return op.lost(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return op.lost(err)
	}
	return decode(op, response.StatusCode, text, answer)
}

// newRequest makes a request that net/http never sends twice. It repeats only a
// GET, HEAD, OPTIONS or TRACE, a request with an Idempotency-Key, and, if it
// believes that nothing was written, one whose body it can rewind. This one is
// a POST, and its body is hidden behind a type that it can't rewind.
func newRequest(ctx context.Context, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func trace(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

// decode believes an answer only if it is one of the protocol's own: an error
// page from something between here and the service says nothing about a write.
func decode(op operation, status int, text []byte, answer any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(text, answer); err != nil {
			return op.lost(err)
		}
		if v, ok := answer.(wire.Validator); ok && !v.Valid() {
			return op.lost(errors.New("answer without the fields of the protocol"))
		}
		return nil
	}
	var failure wire.Failure
	if err := json.Unmarshal(text, &failure); err != nil {
		return op.lost(errors.Errorf("status %d without a failure message", status))
	}
	err, ok := failure.Err()
	if !ok || failure.Status() != status {
		return op.lost(errors.Errorf("status %d with code %q", status, failure.Code))
	}
	return err
}
