package proxy

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
)

// Reports returns the measurements of each account since the last call.
// Interval is the time since then.
func (p *Proxy) Reports(interval time.Duration) []observe.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []observe.Report
	for _, s := range p.accounts {
		if s.account != nil {
			reports = append(reports, s.report(interval))
		}
	}
	slices.SortFunc(reports, func(a, b observe.Report) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return reports
}

func (s *accountState) report(interval time.Duration) observe.Report {
	r := observe.Report{
		Node:     s.proxy.options.Node,
		Region:   s.proxy.options.Region,
		Account:  s.name,
		Interval: interval,
	}
	if s.stepper != nil {
		r.PlanEpoch, r.PlanSequence = s.stepper.AppliedVersion()
	}
	for i := range s.account.Services {
		name := s.account.Services[i].Name
		r.Flows = append(r.Flows, s.services[name].demand(name, interval)...)
	}
	for _, place := range s.places {
		r.Places = append(r.Places, place.load(interval))
	}
	slices.SortFunc(r.Places, comparePlaces)
	return r
}

func comparePlaces(a, b observe.PlaceLoad) int {
	if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
		return c
	}
	return strings.Compare(string(a.Place), string(b.Place))
}

func (s *serviceState) demand(name model.ServiceName, interval time.Duration) []observe.FlowDemand {
	var flows []observe.FlowDemand
	for caller, count := range s.takeOffered() {
		flows = append(flows, observe.FlowDemand{
			Service:    name,
			Caller:     caller,
			OfferedRPS: perSecond(count, interval),
		})
	}
	slices.SortFunc(flows, func(a, b observe.FlowDemand) int {
		return strings.Compare(string(a.Caller), string(b.Caller))
	})
	return flows
}

func (s *placeState) load(interval time.Duration) observe.PlaceLoad {
	tried := s.counts.attempts.Swap(0)
	failed := s.counts.failed.Swap(0)
	ts := s.targets.Load()
	l := observe.PlaceLoad{
		Service:    s.key.Service,
		Place:      s.key.Place,
		SentRPS:    perSecond(tried, interval),
		RefusedRPS: perSecond(s.counts.refused.Swap(0), interval),
		Targets:    ts.set.UsableCount(s.proxy.now()),
		Known:      len(ts.members),
	}
	if tried > 0 {
		l.FailureShare = min(1, float64(failed)/float64(tried))
	}
	l.P50, l.P99 = s.counts.takeLatencies()
	return l
}

func perSecond(count uint64, interval time.Duration) float64 {
	if interval <= 0 {
		return 0
	}
	return float64(count) / interval.Seconds()
}
