package ingress

import (
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// ResponseWriter is the ResponseWriter that handlers get.
type ResponseWriter struct {
	*nbhttp.Response
	conn  *connection
	began time.Time
	// body is set if it is collected; it may still be coming.
	body *Body
}

// WriteHeader implements http.ResponseWriter. An answer that is given before
// the request's body is whole is the last one on its connection: what comes
// after it could be the rest of the body as well as a request.
func (w *ResponseWriter) WriteHeader(status int) {
	w.endBody()
	w.Response.WriteHeader(status)
}

// endBody drops the rest of a body that still comes.
func (w *ResponseWriter) endBody() {
	if w.body == nil {
		return
	}
	if !w.body.end() {
		w.Header().Set("Connection", "close")
		w.conn.linger()
	}
	w.body = nil
}

// Flush gives the answer and returns when the system has taken its last byte.
// Until then the answer's memory is in use and the request is not ended.
func (w *ResponseWriter) Flush() {
	if w.conn.hasClosed() {
		// The engine would log an error for what is the caller's right.
		return
	}
	w.Response.Flush()
	w.conn.waitTaken()
}

// WatchClose calls gone once the caller has closed the connection, until stop
// is called.
func (w *ResponseWriter) WatchClose(_ *http.Request, gone func()) (stop func()) {
	return w.conn.watch(gone)
}

// BodyReserved reports that the memory of the request's body is accounted for
// by Options.Bodies.
func (w *ResponseWriter) BodyReserved() bool { return w.conn.server.options.BodyAdmitter != nil }

// Began returns when the request's first line was there. A deadline counts
// from then on, not from when a slow body was whole.
func (w *ResponseWriter) Began() time.Time { return w.began }
