package memkv

import (
	"maps"

	"github.com/yuccaroute/yuccaroute/store"
)

// Snapshot is a copy of all keys without a lease at one revision, like a backup.
type Snapshot struct {
	revision store.Revision
	entries  map[string]store.Entry
}

// Snapshot copies the keys that are not bound to a lease.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := maps.Clone(s.entries)
	maps.DeleteFunc(entries, func(_ string, entry store.Entry) bool {
		return entry.Lease != 0
	})
	return Snapshot{revision: s.revision, entries: entries}
}

// Restore resets the store to a snapshot: the revision goes back, leases end, the
// history is dropped and pending watches return.
func (s *Store) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases = map[store.LeaseID]*lease{}
	s.entries = maps.Clone(from.entries)
	s.revision = from.revision
	s.history.reset(from.revision)
	for w := range s.waiters {
		delete(s.waiters, w)
		close(w.wake)
	}
}
