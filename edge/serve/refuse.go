package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// badRequestError is a request that is not valid HTTP/1.1.
type badRequestError struct{ cause error }

func (e *badRequestError) Error() string { return "serve: malformed request: " + e.cause.Error() }

// refuse writes an error response if the error is one of a request.
func (c *conn) refuse(ctx context.Context, err error, previousDone <-chan struct{}) {
	status := statusOf(err)
	if status == 0 {
		return
	}
	c.server.options.Logger.WithError(err).WithField("status", status).Info("serve: request refused")
	select {
	case <-previousDone:
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

// drainInput reads and discards for a while: closing with unread bytes resets the
// connection, and the caller might lose the response.
func (c *conn) drainInput() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.reader)
}

// statusOf returns the status for a request that could not be read, 0 for no response.
func statusOf(err error) int {
	var bad *badRequestError
	switch {
	case errors.Is(err, errHeaderTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory), errors.Is(err, errUnread):
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
