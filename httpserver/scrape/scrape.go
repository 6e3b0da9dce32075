// Package scrape creates a root metrics scope and the HTTP handler that exposes it
// to Prometheus.
package scrape

import (
	"io"
	"maps"
	"net/http"
	"strings"
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
		CachedReporter: validReporter{reporter},
		Separator:      tallyprom.DefaultSeparator,
	}, interval)
	return &Metrics{Scope: scope, Closer: closer, Page: reporter.HTTPHandler()}
}

// validReporter replaces the invalid UTF-8 in the values of tags. Prometheus permits no such value, and its client
// panics.
type validReporter struct{ tally.CachedStatsReporter }

// AllocateCounter implements tally.CachedStatsReporter.
func (r validReporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.CachedStatsReporter.AllocateCounter(name, validTags(tags))
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r validReporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.CachedStatsReporter.AllocateGauge(name, validTags(tags))
}

// AllocateTimer implements tally.CachedStatsReporter.
func (r validReporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return r.CachedStatsReporter.AllocateTimer(name, validTags(tags))
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r validReporter) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	return r.CachedStatsReporter.AllocateHistogram(name, validTags(tags), buckets)
}

func validTags(tags map[string]string) map[string]string {
	valid := maps.Clone(tags)
	for name, value := range valid {
		valid[name] = strings.ToValidUTF8(value, "\uFFFD")
	}
	return valid
}
