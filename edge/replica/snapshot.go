package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// Snapshot is items at a revision: all of them, or those that changed after another one.
type Snapshot struct {
	At    store.Revision `msgpack:"t"`
	Items []store.Entry  `msgpack:"i"`
	// Partial tells that items and removals bring a copy from After to At.
	Partial bool           `msgpack:"p,omitempty"`
	After   store.Revision `msgpack:"a,omitempty"`
	Removed []store.Entry  `msgpack:"r,omitempty"`
}

// SnapshotAfter returns what changed after a revision, or all items if that is not
// remembered.
func (r *Replica) SnapshotAfter(after store.Revision) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.remembers(after) {
		return r.partial(after)
	}
	c := Snapshot{At: r.at, Items: make([]store.Entry, 0, len(r.items))}
	for _, entry := range r.items {
		c.Items = append(c.Items, entry)
	}
	return c
}

// HasChangesAfter reports whether what changed after a revision is remembered.
func (r *Replica) HasChangesAfter(after store.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remembers(after)
}

// remembers is called with the lock held.
func (r *Replica) remembers(after store.Revision) bool { return after > 0 && after >= r.recentAfter }

// partial is called with the lock held.
func (r *Replica) partial(after store.Revision) Snapshot {
	c := Snapshot{At: r.at, Partial: true, After: after}
	for _, change := range r.recent {
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
func (r *Replica) remember(changes []Change) {
	r.recent = append(r.recent, changes...)
	if over := len(r.recent) - kept; over > 0 {
		r.recentAfter = r.recent[over-1].Entry.Revision
		r.recent = append(r.recent[:0], r.recent[over:]...)
	}
}

// ApplySnapshot takes a copy if it is newer.
func (r *Replica) ApplySnapshot(c Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && c.At <= r.at {
		return
	}
	if !c.Partial {
		r.replace(c)
		return
	}
	if !r.loaded || c.After > r.at {
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
	r.applyEvents(batch)
}

// replace is called with the lock held.
func (r *Replica) replace(c Snapshot) {
	var changes []Change
	present := make(map[string]bool, len(c.Items))
	for _, entry := range c.Items {
		if !strings.HasPrefix(entry.Key, r.options.Prefix) {
			continue
		}
		present[entry.Key] = true
		if entry.Revision > r.items[entry.Key].Revision {
			r.items[entry.Key] = entry
			changes = append(changes, Change{Entry: entry, FromSnapshot: true})
		}
	}
	for key, entry := range r.items {
		if !present[key] && entry.Revision <= c.At {
			delete(r.items, key)
			changes = append(changes, Change{Entry: entry, Removed: true, FromSnapshot: true})
		}
	}
	r.at = c.At
	r.loaded = true
	r.behindSince = time.Time{}
	// What was removed, and when, is not known of a listing.
	r.recent, r.recentAfter = nil, c.At
	r.tell(changes)
}
