package ingress

import (
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// Writer is the ResponseWriter that handlers get.
type Writer struct {
	*nbhttp.Response
	conn  *connection
	began time.Time
}

// Flush gives the answer and returns when the system has taken its last byte.
// Until then the answer's memory is in use and the request is not ended.
func (w *Writer) Flush() {
	if w.conn.hasClosed() {
		// The engine would log an error for what is the caller's right.
		return
	}
	w.Response.Flush()
	w.conn.waitTaken()
}

// WatchClose calls gone once the caller has closed the connection, until stop
// is called.
func (w *Writer) WatchClose(_ *http.Request, gone func()) (stop func()) {
	return w.conn.watch(gone)
}

// BodyReserved reports that the memory of the request's body is accounted for
// by Options.Bodies.
func (w *Writer) BodyReserved() bool { return w.conn.server.options.Bodies != nil }

// Began returns when the request's first line was there. A deadline counts
// from then on, not from when a slow body was whole.
func (w *Writer) Began() time.Time { return w.began }
