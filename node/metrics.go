package node

import (
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// metricsPrefix starts the name of every metric.
const metricsPrefix = "yuccaroute"

// metrics is the root scope of a node and its scrape page.
type metrics struct {
	scope  tally.Scope
	closer io.Closer
	page   http.Handler
}

// newMetrics makes a scope whose values the page shows in the Prometheus text
// format. Histograms carry the tags account, service and class.
func newMetrics(vm string) *metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         metricsPrefix,
		Tags:           map[string]string{"vm": vm},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, metricsInterval)
	return &metrics{scope: scope, closer: closer, page: reporter.HTTPHandler()}
}
