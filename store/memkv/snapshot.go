package memkv

import (
	"maps"

	"github.com/yuccaroute/yuccaroute/store"
)

// Snapshot is a copy of all keys at one revision, as a backup has it.
type Snapshot struct {
	revision store.Revision
	entries  map[string]store.Entry
}

// Snapshot copies the keys that hang on no lease.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := maps.Clone(s.entries)
	maps.DeleteFunc(entries, func(_ string, entry store.Entry) bool {
		return entry.Lease != 0
	})
	return Snapshot{revision: s.revision, entries: entries}
}

// Restore puts the store back to a snapshot: revisions go back, leases end and
// the changes kept for watches are forgotten. Waiting watches end.
func (s *Store) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases = map[store.LeaseID]*lease{}
	s.entries = maps.Clone(from.entries)
	s.revision = from.revision
	s.history.clear(from.revision)
	for w := range s.waiters {
		delete(s.waiters, w)
		close(w.wake)
	}
}
