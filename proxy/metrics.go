package proxy

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// latencyBuckets range from 0.5 ms to about 16 s, two for each doubling.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 1.41421356, 31)

// classMetrics are the metrics of one request class of one service.
type classMetrics struct {
	scope   tally.Scope
	latency tally.Histogram
	retries tally.Counter
	// keptAnswers counts repeats that got the original answer.
	keptAnswers tally.Counter
	// results holds a tally.Counter for each result.Code seen.
	results sync.Map
}

func newClassMetrics(scope tally.Scope, account model.AccountName, service model.ServiceName, class model.Class) *classMetrics {
	tagged := scope.SubScope("proxy").Tagged(map[string]string{
		"account": string(account),
		"service": string(service),
		"class":   class.String(),
	})
	return &classMetrics{
		scope:   tagged,
		latency: tagged.Histogram("latency", latencyBuckets),
		retries: tagged.Counter("retries"),

		keptAnswers: tagged.Counter("kept_answers"),
	}
}

// record counts a finished request.
func (m *classMetrics) record(code result.Code, took time.Duration) {
	m.latency.RecordDuration(took)
	m.counter(code).Inc(1)
}

func (m *classMetrics) counter(code result.Code) tally.Counter {
	if c, ok := m.results.Load(code); ok {
		return c.(tally.Counter)
	}
	tags := map[string]string{"result": strconv.Itoa(int(code))}
	c, _ := m.results.LoadOrStore(code, m.scope.Tagged(tags).Counter("requests"))
	return c.(tally.Counter)
}
