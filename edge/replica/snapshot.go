package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

// maxListedKeys limits the keys in a log line.
const maxListedKeys = 32

// Snapshot holds the items at a revision: all of them, or the changes after an earlier one.
type Snapshot struct {
	At    store.Revision `msgpack:"t"`
	Items []store.Entry  `msgpack:"i"`
	// Partial is set if Items and Removed are the changes from After to At.
	Partial bool           `msgpack:"p,omitempty"`
	After   store.Revision `msgpack:"a,omitempty"`
	Removed []store.Entry  `msgpack:"r,omitempty"`
	// Lost are changes of an earlier era that the restored store lacks, as far as Retained goes. Only full
	// snapshots have them.
	Lost     []LostChange `msgpack:"l,omitempty"`
	Retained Span         `msgpack:"m,omitempty"`
}

// SnapshotAfter returns the changes after a revision, or all items if these changes are no
// longer kept.
func (r *Replica) SnapshotAfter(after store.Revision) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasChangesAfter(after) {
		return r.partialSnapshot(after)
	}
	snapshot := Snapshot{At: r.revision, Items: make([]store.Entry, 0, len(r.items))}
	for _, entry := range r.items {
		snapshot.Items = append(snapshot.Items, entry)
	}
	r.addRetained(&snapshot)
	return snapshot
}

// HasChangesAfter reports whether all changes after a revision are kept.
func (r *Replica) HasChangesAfter(after store.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasChangesAfter(after)
}

// hasChangesAfter requires the lock.
func (r *Replica) hasChangesAfter(after store.Revision) bool {
	return after > 0 && after >= r.recentAfter
}

// partialSnapshot requires the lock.
func (r *Replica) partialSnapshot(after store.Revision) Snapshot {
	snapshot := Snapshot{At: r.revision, Partial: true, After: after}
	for _, change := range r.recent {
		switch {
		case change.Entry.Revision <= after:
		case change.Removed:
			removed := change.Entry
			removed.Value = nil
			snapshot.Removed = append(snapshot.Removed, removed)
		default:
			snapshot.Items = append(snapshot.Items, change.Entry)
		}
	}
	return snapshot
}

// recordChanges keeps the most recent changes for partial snapshots. It requires the lock.
func (r *Replica) recordChanges(changes []Change) {
	r.recent = append(r.recent, changes...)
	if excess := len(r.recent) - maxRecentChanges; excess > 0 {
		r.recentAfter = r.recent[excess-1].Entry.Revision
		r.recent = append(r.recent[:0], r.recent[excess:]...)
	}
}

// ApplySnapshot applies a snapshot that is newer than the replica. A partial one is ignored
// if there is a gap between them.
func (r *Replica) ApplySnapshot(snapshot Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyNewer(snapshot)
	r.applyRetained(snapshot)
}

// applyNewer requires the lock.
func (r *Replica) applyNewer(snapshot Snapshot) {
	if r.loaded && snapshot.At <= r.revision {
		return
	}
	if !snapshot.Partial {
		r.replaceItems(snapshot)
		return
	}
	if !r.loaded || snapshot.After > r.revision {
		return
	}
	batch := store.Batch{At: snapshot.At}
	for _, entry := range snapshot.Removed {
		batch.Events = append(batch.Events, store.Event{Entry: entry, Deleted: true})
	}
	for _, entry := range snapshot.Items {
		batch.Events = append(batch.Events, store.Event{Entry: entry})
	}
	slices.SortStableFunc(batch.Events, func(a, b store.Event) int {
		return cmp.Compare(a.Entry.Revision, b.Entry.Revision)
	})
	r.applyEvents(batch)
}

// replaceItems applies a full snapshot. It requires the lock.
func (r *Replica) replaceItems(snapshot Snapshot) {
	var changes []Change
	now := time.Now()
	restored := r.loaded && r.revision != 0 && snapshot.At.Era() > r.revision.Era()
	if restored {
		r.retain(snapshot)
	}
	present := make(map[string]bool, len(snapshot.Items))
	for _, entry := range snapshot.Items {
		if !strings.HasPrefix(entry.Key, r.options.Prefix) {
			continue
		}
		present[entry.Key] = true
		if entry.Revision > r.items[entry.Key].Revision {
			r.items[entry.Key] = entry
			changes = append(changes, Change{Entry: entry})
		}
	}
	for key, entry := range r.items {
		if !present[key] && entry.Revision <= snapshot.At {
			delete(r.items, key)
			changes = append(changes, Change{Entry: entry, Removed: true, Lost: restored, LostAt: now})
		}
	}
	if restored {
		r.logRestored(snapshot.At, changes)
	} else {
		r.forgetRetained(changes)
	}
	if !r.loaded || restored {
		r.firstRevision = snapshot.At
	}
	r.rememberRemovals(changes)
	r.revision = snapshot.At
	r.loaded = true
	r.behindSince = time.Time{}
	// A listing does not contain removals, so that earlier revisions get a full snapshot.
	r.recent, r.recentAfter = nil, snapshot.At
	r.notify(changes)
}

// logRestored logs that the store was restored, and which keys it lacks. It requires the lock.
func (r *Replica) logRestored(at store.Revision, changes []Change) {
	var lost []string
	for _, change := range changes {
		if change.Lost {
			lost = append(lost, change.Entry.Key)
		}
	}
	slices.Sort(lost)
	r.options.Logger.WithFields(logrus.Fields{
		"from_era": r.revision.Era(), "from_revision": r.revision.Number(), "era": at.Era(), "revision": at.Number(),
		"lost_count": len(lost), "lost": lost[:min(len(lost), maxListedKeys)],
	}).Warn("replica: the store was restored from a copy, its state is applied")
}
