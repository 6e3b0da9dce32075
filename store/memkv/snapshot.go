package memkv

import (
	"maps"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// Snapshot is a copy of the store at one revision, like a backup.
type Snapshot struct {
	revision  store.Revision
	entries   map[string]store.Entry
	lastLease store.LeaseID
	// leases are the times to live of the leases in the copy.
	leases map[store.LeaseID]time.Duration
}

// Snapshot copies the keys that are not bound to a lease.
func (s *Store) Snapshot() Snapshot {
	copied := s.SnapshotWithLeases()
	maps.DeleteFunc(copied.entries, func(_ string, entry store.Entry) bool {
		return entry.Lease != 0
	})
	copied.leases = nil
	return copied
}

// SnapshotWithLeases copies all keys and the leases that they are bound to.
func (s *Store) SnapshotWithLeases() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := Snapshot{
		revision: s.revision, entries: maps.Clone(s.entries), lastLease: s.lastLease, leases: map[store.LeaseID]time.Duration{},
	}
	for id, l := range s.leases {
		copied.leases[id] = l.ttl
	}
	return copied
}

// Restore resets the store to a snapshot and begins the next era: the revision number
// goes back, leases that the snapshot lacks end, their IDs are given out again, the history is dropped and
// pending watches return.
func (s *Store) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = s.inEra(from.revision)
	s.entries = make(map[string]store.Entry, len(from.entries))
	for key, entry := range from.entries {
		entry.Revision = s.inEra(entry.Revision)
		s.entries[key] = entry
	}
	s.restoreLeases(from)
	s.history.reset(s.revision)
	for w := range s.waiters {
		delete(s.waiters, w)
		close(w.wake)
	}
}

// inEra returns the revision with the same number in the current era.
func (s *Store) inEra(r store.Revision) store.Revision { return store.NewRevision(s.era, r.Number()) }

// restoreLeases replaces the leases by those of the snapshot, which get their full time to live.
func (s *Store) restoreLeases(from Snapshot) {
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases = map[store.LeaseID]*lease{}
	s.lastLease = from.lastLease
	for id, ttl := range from.leases {
		s.addLease(id, ttl)
	}
	for key, entry := range s.entries {
		if l := s.leases[entry.Lease]; l != nil {
			l.keys[key] = struct{}{}
		}
	}
}
