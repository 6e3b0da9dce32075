package entry

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/gateway"
	"github.com/yuccaroute/yuccaroute/edge/loadview"
	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	metricsPath = "/metrics"
	// directoryTTL is the TTL of directory responses. It is shorter than drainPeriod.
	directoryTTL = 2 * time.Second
	// Limits in force where the configuration has none.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeaderTime  = 3 * time.Second
	defaultIdleTime    = 15 * time.Second
	// peerHeaderBytes is the extra header size for fields that VMs add to delegated requests.
	peerHeaderBytes = 1 << 10
	// peerIdleTime exceeds the idle timeout of other VMs' connection pools.
	peerIdleTime = time.Minute
)

// limits returns the limits in force.
func (e *Entry) limits() serve.Limits { return limitsOf(e.catalog.View().Config) }

// limitsOf returns the limits of a configuration, which may be nil, with defaults for those that it does not have.
func limitsOf(c *site.Config) serve.Limits {
	var l site.Limits
	if c != nil {
		l = c.Limits
	}
	return serve.Limits{
		HeaderBytes: cmp.Or(l.HeaderBytes, defaultHeaderBytes), BodyBytes: cmp.Or(l.BodyBytes, defaultBodyBytes),
		HeaderTime: cmp.Or(l.HeaderTime, defaultHeaderTime), IdleTime: cmp.Or(l.IdleTime, defaultIdleTime),
	}
}

// peerLimits returns the limits for connections of other VMs, which add header fields
// and keep connections open for longer than callers.
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
	entries := e.members.EntryAddresses(zone, region, e.serving(), e.now())
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
		return e.snapshots.respond(store.Revision(after))
	case metricsPath:
		return e.metricsPage()
	case loadview.Path:
		return e.loadPage()
	}
	return serve.PlainText(http.StatusNotFound, "")
}

func (e *Entry) handleMetrics(_ context.Context, r *serve.Request) *serve.Response {
	switch r.Path {
	case metricsPath:
		return e.metricsPage()
	case loadview.Path:
		return e.loadPage()
	}
	return serve.PlainText(http.StatusNotFound, "")
}

// loadPage returns what this VM knows of the load.
func (e *Entry) loadPage() *serve.Response {
	now := time.Now()
	regions, services, reportAge := e.balancer.Load(now)
	startsOf := func(service, region string, during *refusals.Seconds) []refusals.Started {
		return e.balancer.Starts(now, service, region, during)
	}
	body, err := json.Marshal(&loadview.View{
		VM: e.options.VM.Name, Region: e.options.VM.Region, Regions: regions, ReportAgeMS: reportAge.Milliseconds(),
		Services: services, Accounts: e.gatewayMetrics.refusals.LastMinute(now),
		Refused: e.gatewayMetrics.refusals.Places(now, startsOf),
	})
	if err != nil {
		e.component("entry").WithError(err).Warn("entry: cannot encode the load")
		return serve.PlainText(http.StatusInternalServerError, "")
	}
	return &serve.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}

func (e *Entry) metricsPage() *serve.Response {
	page := &pageWriter{header: make(http.Header)}
	e.metrics.Page.ServeHTTP(page, &http.Request{Method: http.MethodGet, Header: make(http.Header)})
	return &serve.Response{Status: http.StatusOK, Header: page.header, Body: page.Bytes()}
}

// pageWriter is an http.ResponseWriter that buffers the body.
type pageWriter struct {
	bytes.Buffer
	header http.Header
}

func (w *pageWriter) Header() http.Header { return w.header }
func (w *pageWriter) WriteHeader(int)     {}
