package serve

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// badRequestError is a request that is not valid HTTP/1.1.
type badRequestError struct{ cause error }

func (e *badRequestError) Error() string { return "serve: malformed request: " + e.cause.Error() }

// refuse writes an error response for a request that could not be read; status is 0 for none.
func (c *conn) refuse(err error, status int) {
	if !c.stopAccepting() || status == 0 {
		return
	}
	c.server.options.Logger.WithError(err).WithField("status", status).Info("serve: request refused")
	a := c.ownResponse(status, "", c.head)
	for name, values := range c.server.options.RefusedHeader {
		a.Header[name] = values
	}
	if status == http.StatusServiceUnavailable {
		a.Header["Retry-After"] = []string{"0.3"}
	}
	if c.write(a, true) != nil {
		c.close()
	}
}

// ownResponse returns a response that is not the handler's. It repeats the ID of the request, whose header is h; nil if it
// was not read.
func (c *conn) ownResponse(status int, text string, h http.Header) *Response {
	a := PlainText(status, text)
	if id := h.Get(c.server.options.IDField); id != "" {
		a.Header.Set(c.server.options.IDField, id)
	}
	return a
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
