// Package scrape creates a root metrics scope and the HTTP handler that exposes it
// to Prometheus.
package scrape

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// Prefix is prepended to the name of every metric.
const Prefix = "yuccaroute"

// Metrics holds a root scope and the handler that serves its metrics.
type Metrics struct {
	Scope  tally.Scope
	Closer io.Closer
	Page   http.Handler
}

// New returns a scope that is reported every interval and served in the Prometheus
// text format. Every metric is tagged with the VM name.
func New(vm string, interval time.Duration) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         Prefix,
		Tags:           map[string]string{"vm": vm},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, interval)
	return &Metrics{Scope: scope, Closer: closer, Page: reporter.HTTPHandler()}
}
