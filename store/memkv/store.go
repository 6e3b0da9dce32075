// Package memkv is an in-memory implementation of store.KV for tests and the
// platform stand-in. Leases expire by timers of the time package, so that it can
// run in a testing/synctest bubble.
package memkv

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/yuccaroute/yuccaroute/store"
)

// Store is an in-memory store.KV. It is safe for concurrent use.
type Store struct {
	options Options

	mu sync.Mutex
	// era is that of revision.
	era       uint64
	revision  store.Revision
	entries   map[string]store.Entry
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
	history   history
	waiters   map[*waiter]struct{}
}

var _ store.KV = (*Store)(nil)

// New returns an empty store at revision 0.
func New(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		options: options,
		entries: map[string]store.Entry{},
		leases:  map[store.LeaseID]*lease{},
		history: history{
			maxEvents: options.HistoryEvents,
			maxBytes:  options.HistoryBytes,
		},
		waiters: map[*waiter]struct{}{},
	}
}

// Era returns how often the store was restored.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if ctx.Err() != nil {
		return store.Entry{}, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeaseOf(key)
	entry, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return clone(entry), nil
}

// List implements store.KV.
func (s *Store) List(ctx context.Context, prefix string) (store.Listing, error) {
	if ctx.Err() != nil {
		return store.Listing{}, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesUnder(prefix)
	listing := store.Listing{At: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, clone(entry))
		}
	}
	slices.SortFunc(listing.Entries, func(a, b store.Entry) int {
		return strings.Compare(a.Key, b.Key)
	})
	return listing, nil
}

// Swap implements store.KV.
func (s *Store) Swap(ctx context.Context, key string, value []byte, expected store.Revision, id store.LeaseID) (store.Revision, error) {
	if ctx.Err() != nil {
		return 0, store.ErrUnavailable
	}
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRevision(key, expected); err != nil {
		return 0, err
	}
	if id != 0 && s.liveLease(id) == nil {
		return 0, store.ErrLeaseGone
	}
	return s.put(key, value, id), nil
}

// Delete implements store.KV.
func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRevision(key, expected); err != nil {
		return err
	}
	if expected == 0 {
		return store.ErrNotFound
	}
	s.remove(key)
	return nil
}

func (s *Store) checkRevision(key string, expected store.Revision) error {
	s.expireLeaseOf(key)
	current := s.entries[key].Revision
	if current != expected {
		return &store.ConflictError{Key: key, Current: current}
	}
	return nil
}

func (s *Store) put(key string, value []byte, id store.LeaseID) store.Revision {
	s.unbind(s.entries[key])
	s.revision++
	entry := store.Entry{
		Key:      key,
		Value:    bytes.Clone(value),
		Revision: s.revision,
		Lease:    id,
	}
	s.entries[key] = entry
	if id != 0 {
		s.leases[id].keys[key] = struct{}{}
	}
	s.publish(store.Event{Entry: entry})
	return s.revision
}

func (s *Store) remove(key string) {
	entry := s.entries[key]
	s.unbind(entry)
	delete(s.entries, key)
	s.revision++
	s.publish(store.Event{
		Entry:   store.Entry{Key: key, Revision: s.revision},
		Deleted: true,
	})
}

func (s *Store) unbind(entry store.Entry) {
	if l := s.leases[entry.Lease]; l != nil {
		delete(l.keys, entry.Key)
	}
}

func (s *Store) expireLeaseOf(key string) {
	if id := s.entries[key].Lease; id != 0 {
		s.liveLease(id)
	}
}

func (s *Store) expireLeasesUnder(prefix string) {
	for key, entry := range s.entries {
		if entry.Lease != 0 && strings.HasPrefix(key, prefix) {
			s.liveLease(entry.Lease)
		}
	}
}

func clone(entry store.Entry) store.Entry {
	entry.Value = bytes.Clone(entry.Value)
	return entry
}
