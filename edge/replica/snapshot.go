package mirror

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// Copy is items at a revision: all of them, or those that changed after another one.
type Copy struct {
	At    store.Revision `msgpack:"t"`
	Items []store.Entry  `msgpack:"i"`
	// Partial tells that items and removals bring a copy from After to At.
	Partial bool           `msgpack:"p,omitempty"`
	After   store.Revision `msgpack:"a,omitempty"`
	Removed []store.Entry  `msgpack:"r,omitempty"`
}

// CopyAfter returns what changed after a revision, or all items if that is not
// remembered.
func (m *Mirror) CopyAfter(after store.Revision) Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remembers(after) {
		return m.partial(after)
	}
	c := Copy{At: m.at, Items: make([]store.Entry, 0, len(m.items))}
	for _, entry := range m.items {
		c.Items = append(c.Items, entry)
	}
	return c
}

// Remembers reports whether what changed after a revision is remembered.
func (m *Mirror) Remembers(after store.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.remembers(after)
}

// remembers is called with the lock held.
func (m *Mirror) remembers(after store.Revision) bool { return after > 0 && after >= m.recentAfter }

// partial is called with the lock held.
func (m *Mirror) partial(after store.Revision) Copy {
	c := Copy{At: m.at, Partial: true, After: after}
	for _, change := range m.recent {
		switch {
		case change.Entry.Revision <= after:
		case change.Removed:
			removed := change.Entry
			removed.Value = nil
			c.Removed = append(c.Removed, removed)
		default:
			c.Items = append(c.Items, change.Entry)
		}
	}
	return c
}

// remember keeps the last changes for other VMs.
func (m *Mirror) remember(changes []Change) {
	m.recent = append(m.recent, changes...)
	if over := len(m.recent) - kept; over > 0 {
		m.recentAfter = m.recent[over-1].Entry.Revision
		m.recent = append(m.recent[:0], m.recent[over:]...)
	}
}

// Adopt takes a copy if it is newer.
func (m *Mirror) Adopt(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && c.At <= m.at {
		return
	}
	if !c.Partial {
		m.replace(c)
		return
	}
	if !m.loaded || c.After > m.at {
		return
	}
	batch := store.Batch{At: c.At}
	for _, entry := range c.Removed {
		batch.Events = append(batch.Events, store.Event{Entry: entry, Deleted: true})
	}
	for _, entry := range c.Items {
		batch.Events = append(batch.Events, store.Event{Entry: entry})
	}
	slices.SortStableFunc(batch.Events, func(a, b store.Event) int {
		return cmp.Compare(a.Entry.Revision, b.Entry.Revision)
	})
	m.applyEvents(batch)
}

// replace is called with the lock held.
func (m *Mirror) replace(c Copy) {
	var changes []Change
	present := make(map[string]bool, len(c.Items))
	for _, entry := range c.Items {
		if !strings.HasPrefix(entry.Key, m.options.Prefix) {
			continue
		}
		present[entry.Key] = true
		if entry.Revision > m.items[entry.Key].Revision {
			m.items[entry.Key] = entry
			changes = append(changes, Change{Entry: entry, Listed: true})
		}
	}
	for key, entry := range m.items {
		if !present[key] && entry.Revision <= c.At {
			delete(m.items, key)
			changes = append(changes, Change{Entry: entry, Removed: true, Listed: true})
		}
	}
	m.at = c.At
	m.loaded = true
	m.behindSince = time.Time{}
	// What was removed, and when, is not known of a listing.
	m.recent, m.recentAfter = nil, c.At
	m.tell(changes)
}
