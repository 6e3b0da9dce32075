package ingress

import (
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// ResponseWriter is the http.ResponseWriter passed to handlers.
type ResponseWriter struct {
	*nbhttp.Response
	conn      *connection
	startedAt time.Time
	// body is the collected body, which may be incomplete.
	body *Body
}

// WriteHeader implements http.ResponseWriter. A response before the end of the
// request body is the last on its connection, since the following bytes belong
// to that body.
func (w *ResponseWriter) WriteHeader(status int) {
	w.abortBody()
	w.Response.WriteHeader(status)
}

// abortBody discards the rest of an incomplete body.
func (w *ResponseWriter) abortBody() {
	if w.body == nil {
		return
	}
	if !w.body.abort() {
		w.Header().Set("Connection", "close")
		w.conn.linger()
	}
	w.body = nil
}

// Flush sends the response and blocks until the kernel has accepted all of it.
// Until then its memory is in use and the request counts as active.
func (w *ResponseWriter) Flush() {
	if w.conn.isClosed() {
		// The engine would log an error for a regular close by the client.
		return
	}
	w.Response.Flush()
	w.conn.waitFlushed()
}

// WatchClose calls gone once the client has closed the connection, until stop
// is called.
func (w *ResponseWriter) WatchClose(_ *http.Request, gone func()) (stop func()) {
	return w.conn.watchClose(gone)
}

// BodyReserved reports whether Options.BodyAdmitter accounts for the memory of
// the request body.
func (w *ResponseWriter) BodyReserved() bool { return w.conn.server.options.BodyAdmitter != nil }

// Began returns when the request line was received; the deadline counts from
// there even if the body is slow.
func (w *ResponseWriter) Began() time.Time { return w.startedAt }
