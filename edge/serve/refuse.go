package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// badRequest is a request that is not HTTP/1.1.
type badRequest struct{ cause error }

func (e *badRequest) Error() string { return "serve: malformed request: " + e.cause.Error() }

// refuse answers a request that cannot be read whole, if there was one.
func (c *conn) refuse(ctx context.Context, err error, before <-chan struct{}) {
	status := statusOf(err)
	if status == 0 {
		return
	}
	c.server.options.Logger.WithError(err).WithField("status", status).Info("serve: request refused")
	select {
	case <-before:
	case <-ctx.Done():
		return
	}
	a := PlainText(status, "")
	if status == http.StatusServiceUnavailable {
		a.Header["Retry-After"] = []string{"0.3"}
	}
	if c.write(a, true) == nil {
		c.drainInput()
	}
}

// drainInput reads on for a while: to close with unread bytes resets the
// connection, and the caller might lose the answer.
func (c *conn) drainInput() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.reader)
}

// statusOf is the answer to a request that could not be read, 0 for none.
func statusOf(err error) int {
	var bad *badRequest
	switch {
	case errors.Is(err, errHeaderTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, errExpectation):
		return http.StatusExpectationFailed
	case errors.As(err, &bad):
		return http.StatusBadRequest
	}
	return 0
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
