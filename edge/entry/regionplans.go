package entry

import (
	"math"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/edge/placing"
)

const (
	// loggedWeightChange is the change of a weight since the last log line that causes another one.
	loggedWeightChange = 0.1
	// planStatusInterval is the time between two readings. Weights change by a tenth in 2 s at the
	// highest rate, losses excepted.
	planStatusInterval = time.Second
)

// regionPlans logs changes of the region plan and keeps its gauges. Only one goroutine may use it.
type regionPlans struct {
	log    *logrus.Entry
	scope  tally.Scope
	gauges map[planTags]planGauges
	logged map[planKey]map[string]float64
	// at is when the plans were last read.
	at time.Time
}

type planTags struct{ service, region string }

type planGauges struct{ demand, weight tally.Gauge }

// planKey identifies requests of a service that may use the same regions.
type planKey struct{ service, regions string }

func newRegionPlans(log *logrus.Entry, scope tally.Scope) *regionPlans {
	return &regionPlans{log: log, scope: scope, gauges: make(map[planTags]planGauges), logged: make(map[planKey]map[string]float64)}
}

// tick reads the plans of a balancer at most every planStatusInterval.
func (r *regionPlans) tick(now time.Time, b *placing.Balancer) {
	if !r.at.IsZero() && now.Sub(r.at) < planStatusInterval {
		return
	}
	r.at = now
	r.update(b.RegionPlans(now))
}

// update takes the plans of all services.
func (r *regionPlans) update(plans []placing.PlanStatus) {
	demand, listed := make(map[planTags]float64), make(map[planKey]bool)
	for _, p := range plans {
		listed[planKey{p.Service, strings.Join(p.Regions, ",")}] = true
		r.logChange(p)
		for region, slots := range p.Demand {
			demand[planTags{p.Service, region}] += slots
		}
	}
	for key := range r.logged {
		if !listed[key] {
			delete(r.logged, key)
		}
	}
	for tags, slots := range demand {
		r.gaugesOf(tags).demand.Update(slots)
	}
	for _, p := range plans {
		if p.Restricted {
			continue
		}
		for region := range p.Capacity {
			r.gaugesOf(planTags{p.Service, region}).weight.Update(p.Weights[region])
		}
	}
}

// logChange writes a line if a weight has changed by loggedWeightChange since the last line. The first
// weights are those that later ones are compared with.
func (r *regionPlans) logChange(p placing.PlanStatus) {
	if len(p.Weights) == 0 {
		return
	}
	key := planKey{p.Service, strings.Join(p.Regions, ",")}
	last, known := r.logged[key]
	if known && !weightsDiffer(last, p.Weights) {
		return
	}
	r.logged[key] = p.Weights
	if !known && !p.Restricted {
		return
	}
	r.log.WithFields(logrus.Fields{
		"service": p.Service, "set": p.Regions, "weights": p.Weights, "planned": p.Planned,
		"demand": p.Demand, "capacity": p.Capacity, "report_age_ms": p.ReportAge.Milliseconds(),
	}).Info("placing: region plan changed")
}

func weightsDiffer(a, b map[string]float64) bool {
	for region, weight := range a {
		if math.Abs(b[region]-weight) >= loggedWeightChange {
			return true
		}
	}
	for region, weight := range b {
		if math.Abs(a[region]-weight) >= loggedWeightChange {
			return true
		}
	}
	return false
}

func (r *regionPlans) gaugesOf(tags planTags) planGauges {
	g, ok := r.gauges[tags]
	if !ok {
		scope := r.scope.Tagged(map[string]string{"service": tags.service, "region": tags.region})
		g = planGauges{demand: scope.Gauge("region_demand"), weight: scope.Gauge("region_plan_weight")}
		r.gauges[tags] = g
	}
	return g
}
