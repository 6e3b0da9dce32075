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
	hosts   map[string]*hostEntries
}

// hostEntries are the entries of one host.
type hostEntries struct {
	// byPrefix holds the entries whose prefix ends with a slash.
	byPrefix map[string]*Entry
	// others are the remaining entries, longest prefix first.
	others []*Entry
}

// add adds an entry. Of several with the same prefix the first one counts.
func (h *hostEntries) add(e *Entry) {
	if !strings.HasSuffix(e.Prefix, "/") {
		h.others = append(h.others, e)
	} else if h.byPrefix[e.Prefix] == nil {
		h.byPrefix[e.Prefix] = e
	}
}

// match returns the entry with the longest prefix of a path, nil if there is none.
func (h *hostEntries) match(path string) *Entry {
	var best *Entry
	for end := len(path); end > 0 && best == nil; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		best = h.byPrefix[path[:end]]
	}
	for _, e := range h.others {
		if strings.HasPrefix(path, e.Prefix) && (best == nil || len(e.Prefix) > len(best.Prefix)) {
			return e
		}
	}
	return best
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
	t := &Table{Version: c.Version, hosts: make(map[string]*hostEntries)}
	for _, r := range c.Routes {
		e := &Entry{Route: r, classes: make(map[string]*placing.Class), currentWeight: make([]float64, len(r.Services))}
		old := last.find(r.Host, r.Prefix)
		for _, weighted := range r.Services {
			e.classes[weighted.Service] = old.class(weighted.Service)
			if e.classes[weighted.Service] == nil {
				e.classes[weighted.Service] = placing.NewClassWithin(r.Objective, r.Timeout)
			}
		}
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = &hostEntries{byPrefix: make(map[string]*Entry)}
		}
		t.hosts[r.Host].add(e)
	}
	for _, h := range t.hosts {
		sort.SliceStable(h.others, func(i, j int) bool { return len(h.others[i].Prefix) > len(h.others[j].Prefix) })
	}
	return t
}

// find returns the entry with exactly this host and prefix, nil if there is none.
func (t *Table) find(host, prefix string) *Entry {
	if t == nil || t.hosts[host] == nil {
		return nil
	}
	h := t.hosts[host]
	if e := h.byPrefix[prefix]; e != nil {
		return e
	}
	for _, e := range h.others {
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
	if h := t.hosts[host]; h != nil {
		return h.match(path)
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
