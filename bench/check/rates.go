package check

import (
	"math"
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// rateLimit is a capacity and what arrived under it.
type rateLimit struct {
	promise  Promise
	name     string
	rps      float64
	arrivals []time.Time
}

func checkRates(in *Input, requests map[string]*request, r *Report) {
	for _, account := range in.Accounts {
		limits := limitsOf(account)
		for _, q := range requests {
			addArrivals(in, account, limits, q)
		}
		for _, l := range limits.ordered {
			checkRate(in, l, r)
		}
	}
}

// accountLimits holds the limits of one account by what they bound.
type accountLimits struct {
	service map[model.ServiceName]map[model.PlaceName]*rateLimit
	region  map[model.RegionName]*rateLimit
	link    map[model.RegionName]*rateLimit
	ordered []*rateLimit
}

func limitsOf(a *model.Account) *accountLimits {
	l := &accountLimits{
		service: make(map[model.ServiceName]map[model.PlaceName]*rateLimit),
		region:  make(map[model.RegionName]*rateLimit),
		link:    make(map[model.RegionName]*rateLimit),
	}
	for i := range a.Services {
		s := &a.Services[i]
		l.service[s.Name] = make(map[model.PlaceName]*rateLimit)
		for _, p := range a.Places {
			name := string(a.Name) + "/" + string(s.Name) + "/" + string(p.Name)
			l.service[s.Name][p.Name] = l.add(ServiceOver, name, s.CapacityAt(p.Name))
		}
	}
	for i := range a.Regions {
		g := &a.Regions[i]
		l.region[g.Name] = l.add(RegionOver, string(a.Name)+"/"+string(g.Name), g.CapacityRPS)
		l.link[g.Name] = l.add(LinkOver, string(a.Name)+"/link to "+string(g.Name), g.LinkInRPS)
	}
	return l
}

func (l *accountLimits) add(p Promise, name string, rps float64) *rateLimit {
	limit := &rateLimit{promise: p, name: name, rps: rps}
	l.ordered = append(l.ordered, limit)
	return limit
}

func addArrivals(in *Input, account *model.Account, limits *accountLimits, q *request) {
	for _, line := range q.ran {
		if line.Account != account.Name {
			continue
		}
		region := account.RegionOf(line.Place)
		limits.service[line.Service][line.Place].arrive(line)
		limits.region[region].arrive(line)
		if entry := entryRegion(in, q); entry != "" && entry != region {
			limits.link[region].arrive(line)
		}
	}
}

// entryRegion returns the region of the entry VM that a request went through,
// "" when it is not known or the request used several.
func entryRegion(in *Input, q *request) model.RegionName {
	if len(q.told) != 1 || q.told[0].Attempts > 1 {
		return ""
	}
	return in.EntryRegions[q.told[0].Entry]
}

func (l *rateLimit) arrive(line *Ran) {
	if l == nil {
		return
	}
	for range line.times() {
		l.arrivals = append(l.arrivals, line.At)
	}
}

// checkRate counts each arrival that ends a window with more than is allowed.
func checkRate(in *Input, l *rateLimit, r *Report) {
	sort.Slice(l.arrivals, func(i, j int) bool { return l.arrivals[i].Before(l.arrivals[j]) })
	allowed := int(math.Ceil(l.rps * (in.RateWindow + in.Bunching).Seconds()))
	peak, first := 0, 0
	for last, at := range l.arrivals {
		for at.Sub(l.arrivals[first]) >= in.RateWindow {
			first++
		}
		n := last - first + 1
		peak = max(peak, n)
		r.checked(l.promise)
		if n > allowed {
			r.violated(l.promise, "%s: %d within %v ending %s, allowed %d",
				l.name, n, in.RateWindow, at.Format(time.StampMilli), allowed)
		}
	}
	r.Peaks = append(r.Peaks, Peak{Promise: l.promise, Limit: l.name, Arrivals: peak, Allowed: allowed})
}
