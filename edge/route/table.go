// Package route finds the route of a request and the service that gets it.
package route

import (
	"net"
	"sort"
	"strings"
	"sync"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// Table finds routes. It is immutable; entries count their own requests.
type Table struct {
	Version uint64
	// hosts holds each host's entries, the longest prefix first.
	hosts map[string][]*Entry
}

// Entry is one route in force.
type Entry struct {
	site.Route
	classes map[string]*placing.Class

	mu     sync.Mutex
	credit []float64
}

// NewTable builds the table of a configuration. What was learnt about routes that
// stay is taken over from the last table, which may be nil.
func NewTable(c *site.Config, last *Table) *Table {
	t := &Table{Version: c.Version, hosts: make(map[string][]*Entry)}
	for _, r := range c.Routes {
		e := &Entry{Route: r, classes: make(map[string]*placing.Class), credit: make([]float64, len(r.Services))}
		old := last.find(r.Host, r.Prefix)
		for _, part := range r.Services {
			e.classes[part.Service] = old.class(part.Service)
			if e.classes[part.Service] == nil {
				e.classes[part.Service] = placing.NewClass(r.Objective)
			}
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], e)
	}
	for _, entries := range t.hosts {
		sort.SliceStable(entries, func(i, j int) bool { return len(entries[i].Prefix) > len(entries[j].Prefix) })
	}
	return t
}

// find returns the entry with exactly this host and prefix.
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

// NextService returns the service of the next request, by the parts' weights: each part
// gets its share of every few requests, not only on average.
func (e *Entry) NextService() (service string, class *placing.Class) {
	if len(e.Services) == 1 {
		return e.Services[0].Service, e.classes[e.Services[0].Service]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	sum, best := 0.0, 0
	for i, part := range e.Services {
		e.credit[i] += part.Weight
		sum += part.Weight
		if e.credit[i] > e.credit[best] {
			best = i
		}
	}
	e.credit[best] -= sum
	return e.Services[best].Service, e.classes[e.Services[best].Service]
}
