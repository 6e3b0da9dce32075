// Package scrape makes a root scope of metrics and the page that shows them.
package scrape

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// Prefix starts the name of every metric.
const Prefix = "yuccaroute"

// Metrics is a root scope and its scrape page.
type Metrics struct {
	Scope  tally.Scope
	Closer io.Closer
	Page   http.Handler
}

// New makes a scope whose values the page shows in the Prometheus text format,
// brought up to date every interval. The VM's name is a tag of all of them.
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
