package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

// caller is what the server towards callers adds to a ResponseWriter.
type caller interface {
	// WatchClose calls gone once the caller has gone, until stop is called.
	WatchClose(r *http.Request, gone func()) (stop func())
	// Began returns when the request's first line was there.
	Began() time.Time
	// BodyReserved reports whether the body's memory is accounted for.
	BodyReserved() bool
}

var _ caller = (*ingress.ResponseWriter)(nil)

// plainCaller stands in for servers that add nothing.
type plainCaller struct{ began time.Time }

// WatchClose implements caller by the request's context.
func (plainCaller) WatchClose(r *http.Request, gone func()) (stop func()) {
	ended := context.AfterFunc(r.Context(), gone)
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
