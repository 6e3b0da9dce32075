package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

// caller is what the ingress server adds to a ResponseWriter.
type caller interface {
	// WatchClose calls onClose when the caller disconnects, until stop is
	// called.
	WatchClose(r *http.Request, onClose func()) (stop func())
	// Began returns when the request line was received.
	Began() time.Time
	// BodyReserved reports whether the body's memory is already reserved.
	BodyReserved() bool
}

var _ caller = (*ingress.ResponseWriter)(nil)

// plainCaller implements caller for other HTTP servers.
type plainCaller struct{ began time.Time }

// WatchClose implements caller with the request's context.
func (plainCaller) WatchClose(r *http.Request, onClose func()) (stop func()) {
	ended := context.AfterFunc(r.Context(), onClose)
	return func() { ended() }
}

// Began implements caller.
func (c plainCaller) Began() time.Time { return c.began }

// BodyReserved implements caller.
func (plainCaller) BodyReserved() bool { return false }

func callerOf(w http.ResponseWriter) caller {
	if c, ok := w.(caller); ok {
		return c
	}
	return plainCaller{began: time.Now()}
}
