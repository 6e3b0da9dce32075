package entry

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/gateway"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// metricsPath shows the metrics.
	metricsPath = "/metrics"
	// directoryTTL is how long callers may keep an answer of the directory. A VM
	// that stops takes requests for longer than that.
	directoryTTL = 2 * time.Second
	// Limits before a configuration is known.
	firstHeaderBytes = 16 << 10
	firstBodyBytes   = 1 << 20
	firstHeaderTime  = 3 * time.Second
	firstIdleTime    = 15 * time.Second
	// peerHeaderBytes is what other VMs add to a caller's fields, at most.
	peerHeaderBytes = 1 << 10
	// peerIdleTime is longer than other VMs keep an idle connection.
	peerIdleTime = time.Minute
)

// limits are those of the configuration in force.
func (e *Entry) limits() serve.Limits {
	c := e.catalog.View().Config
	if c == nil || c.Limits.HeaderBytes == 0 {
		return serve.Limits{
			HeaderBytes: firstHeaderBytes, BodyBytes: firstBodyBytes,
			HeaderTime: firstHeaderTime, IdleTime: firstIdleTime,
		}
	}
	return serve.Limits(c.Limits)
}

// peerLimits are those of other VMs: they add fields of their own, and keep connections for
// longer than callers may.
func (e *Entry) peerLimits() serve.Limits {
	l := e.limits()
	l.HeaderBytes += peerHeaderBytes
	l.IdleTime = peerIdleTime
	return l
}

func (e *Entry) handleReady(context.Context, *serve.Request) *serve.Response {
	if e.serving() {
		return serve.PlainText(http.StatusOK, "ready\n")
	}
	return serve.PlainText(http.StatusServiceUnavailable, "not ready\n")
}

func (e *Entry) handleResolve(_ context.Context, r *serve.Request) *serve.Response {
	if r.Path != e.options.Names.ResolvePath {
		return serve.PlainText(http.StatusNotFound, "")
	}
	zone, region := e.options.Names.ParseCaller(r.Query)
	entries := e.members.EntryAddresses(zone, region, e.serving(), time.Now())
	if len(entries) == 0 {
		return serve.PlainText(http.StatusServiceUnavailable, "no entry VM\n")
	}
	return e.options.Names.EncodeAddresses(entries, min(directoryTTL, e.options.MaxTTL))
}

func (e *Entry) handlePeer(ctx context.Context, r *serve.Request) *serve.Response {
	if gateway.IsDelegated(r) {
		return e.gateway.HandleDelegated(ctx, r)
	}
	switch r.Path {
	case snapshotPath:
		after, err := strconv.ParseUint(r.Query.Get("after"), 10, 64)
		if err != nil {
			return serve.PlainText(http.StatusBadRequest, "after is no revision\n")
		}
		return e.snapshots.answer(store.Revision(after))
	case metricsPath:
		return e.metricsPage()
	}
	return serve.PlainText(http.StatusNotFound, "")
}

func (e *Entry) handleMetrics(_ context.Context, r *serve.Request) *serve.Response {
	if r.Path != metricsPath {
		return serve.PlainText(http.StatusNotFound, "")
	}
	return e.metricsPage()
}

func (e *Entry) metricsPage() *serve.Response {
	page := &pageWriter{header: make(http.Header)}
	e.metrics.Page.ServeHTTP(page, &http.Request{Method: http.MethodGet, Header: make(http.Header)})
	return &serve.Response{Status: http.StatusOK, Header: page.header, Body: page.Bytes()}
}

// pageWriter holds a page that an http.Handler writes.
type pageWriter struct {
	bytes.Buffer
	header http.Header
}

func (w *pageWriter) Header() http.Header { return w.header }
func (w *pageWriter) WriteHeader(int)     {}
