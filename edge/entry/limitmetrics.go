package entry

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// maxLimitMetrics bounds the targets that have metrics of their own. Further ones have none.
const maxLimitMetrics = 16

// limitMetrics holds the metrics of targets that have stated a limit, by the target's name.
type limitMetrics struct {
	scope tally.Scope

	mu       sync.Mutex
	byTarget map[string]*targetLimitMetrics
}

// targetLimitMetrics are the metrics of one target.
type targetLimitMetrics struct {
	// rate is the limit in requests per second, -1 for none; age the time since the answer that
	// stated it; tokens the requests that this VM may send.
	rate, age, tokens tally.Gauge
	// sent counts requests that took a token, short the times that there was none, at most one in a
	// wantInterval.
	sent, short tally.Counter
}

func newLimitMetrics(scope tally.Scope) *limitMetrics {
	return &limitMetrics{scope: scope, byTarget: make(map[string]*targetLimitMetrics)}
}

// of returns the metrics of a target.
func (m *limitMetrics) of(target string) *targetLimitMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.byTarget[target]; known != nil {
		return known
	}
	scope := tally.NoopScope
	if len(m.byTarget) < maxLimitMetrics {
		scope = m.scope.Tagged(map[string]string{"target": target})
	}
	made := &targetLimitMetrics{
		rate: scope.Gauge("target_limit_rate"), age: scope.Gauge("target_limit_age_seconds"), tokens: scope.Gauge("target_limit_tokens"),
		sent: scope.Counter("target_limit_sent"), short: scope.Counter("target_limit_short"),
	}
	if len(m.byTarget) < maxLimitMetrics {
		m.byTarget[target] = made
	}
	return made
}

// clear reports that the targets have no limit, before those that have one report theirs.
func (m *limitMetrics) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, target := range m.byTarget {
		target.rate.Update(-1)
		target.tokens.Update(0)
	}
}
