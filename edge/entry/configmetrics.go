package entry

import (
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// maxConfigItemMetrics bounds the unusable items that have a gauge of their own. The others share that of
	// otherConfigItems.
	maxConfigItemMetrics = 64
	otherConfigItems     = "(others)"
)

type configItemTags struct{ item, name string }

// configMetrics holds the gauges that tell which configuration is in force, and what of it cannot be used.
type configMetrics struct {
	scope    tally.Scope
	unusable map[configItemTags]tally.Gauge
	config   *site.Config
}

func newConfigMetrics(scope tally.Scope) *configMetrics {
	return &configMetrics{scope: scope, unusable: make(map[configItemTags]tally.Gauge)}
}

// set updates the gauges. Only one goroutine may call it at a time.
func (m *configMetrics) set(v *catalog.View) {
	rejected := 0.0
	if v.ConfigRejected {
		rejected = 1
	}
	m.scope.Gauge("config_rejected").Update(rejected)
	if v.Config == nil || v.Config == m.config {
		return
	}
	m.config = v.Config
	m.scope.Gauge("config_version").Update(float64(v.Config.Version))
	counts := make(map[configItemTags]int)
	for _, u := range v.Config.Unusable {
		tags := configItemTags{u.Item, u.Name}
		if m.unusable[tags] == nil && len(m.unusable) >= maxConfigItemMetrics {
			tags.name = otherConfigItems
		}
		if m.unusable[tags] == nil {
			m.unusable[tags] = m.scope.Tagged(map[string]string{"item": tags.item, "name": tags.name}).Gauge("config_unusable")
		}
		counts[tags]++
	}
	for tags, gauge := range m.unusable {
		gauge.Update(float64(counts[tags]))
	}
}
