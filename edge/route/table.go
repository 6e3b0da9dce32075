// Package route matches requests to routes and selects the service of each request.
package route

import (
	"net"
	"sort"
	"strings"
	"sync"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// Table matches requests to routes. Its set of routes is immutable.
type Table struct {
	Version uint64
	// hosts holds the entries of each host, longest prefix first.
	hosts map[string][]*Entry
}

// Entry is one route with the state of its traffic split.
type Entry struct {
	site.Route
	classes map[string]*placing.Class

	mu            sync.Mutex
	currentWeight []float64
}

// NewTable builds the table of a configuration. Routes that exist in the last table, which
// may be nil, keep their latency estimates.
func NewTable(c *site.Config, last *Table) *Table {
	t := &Table{Version: c.Version, hosts: make(map[string][]*Entry)}
	for _, r := range c.Routes {
		e := &Entry{Route: r, classes: make(map[string]*placing.Class), currentWeight: make([]float64, len(r.Services))}
		old := last.find(r.Host, r.Prefix)
		for _, weighted := range r.Services {
			e.classes[weighted.Service] = old.class(weighted.Service)
			if e.classes[weighted.Service] == nil {
				e.classes[weighted.Service] = placing.NewClass(r.Objective)
			}
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], e)
	}
	for _, entries := range t.hosts {
		sort.SliceStable(entries, func(i, j int) bool { return len(entries[i].Prefix) > len(entries[j].Prefix) })
	}
	return t
}

// find returns the entry with exactly this host and prefix, nil if there is none.
func (t *Table) find(host, prefix string) *Entry {
	if t == nil {
		return nil
	}
	for _, e := range t.hosts[host] {
		if e.Prefix == prefix {
			return e
		}
	}
	return nil
}

func (e *Entry) class(service string) *placing.Class {
	if e == nil {
		return nil
	}
	return e.classes[service]
}

// Match returns the route of a request, nil if there is none.
func (t *Table) Match(host, path string) *Entry {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, e := range t.hosts[host] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// NextService selects the service of the next request by smooth weighted round robin, so that
// each service gets its share also of a short sequence of requests.
func (e *Entry) NextService() (service string, class *placing.Class) {
	if len(e.Services) == 1 {
		return e.Services[0].Service, e.classes[e.Services[0].Service]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	sum, best := 0.0, 0
	for i, weighted := range e.Services {
		e.currentWeight[i] += weighted.Weight
		sum += weighted.Weight
		if e.currentWeight[i] > e.currentWeight[best] {
			best = i
		}
	}
	e.currentWeight[best] -= sum
	return e.Services[best].Service, e.classes[e.Services[best].Service]
}
