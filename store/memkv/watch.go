package memkv

import (
	"context"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// waiter is a watch waiting for a change under its prefix.
type waiter struct {
	prefix string
	wake   chan struct{}
}

// Watch returns the changes under prefix after the revision given. It waits
// for the first one, at most the waiting time of the store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	deadline := time.NewTimer(s.options.WatchWait)
	defer deadline.Stop()
	for {
		batch, w := s.changes(prefix, after)
		if w == nil {
			return batch, nil
		}
		select {
		case <-w.wake:
		case <-deadline.C:
			s.forget(w)
			batch, last := s.changes(prefix, after)
			s.forget(last)
			return batch, nil
		case <-ctx.Done():
			s.forget(w)
			return store.Batch{}, store.ErrUnavailable
		}
	}
}

// changes returns a batch, or, when there is no change yet, an empty batch
// and a waiter registered under the same lock, so that no change between the
// look and the wait is missed.
func (s *Store) changes(prefix string, after store.Revision) (store.Batch, *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A revision the store has not reached yet comes from before the store
	// was restored from an older copy; only a new list helps that watcher.
	if after > s.revision {
		return store.Batch{At: s.revision, Reset: true}, nil
	}
	events, ok := s.history.since(prefix, after)
	if !ok {
		return store.Batch{At: s.revision, Reset: true}, nil
	}
	batch := store.Batch{Events: cloneEvents(events), At: s.revision}
	if len(events) > 0 {
		return batch, nil
	}
	w := &waiter{prefix: prefix, wake: make(chan struct{})}
	s.waiters[w] = struct{}{}
	return batch, w
}

func (s *Store) forget(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w)
}

func (s *Store) publish(ev store.Event) {
	s.history.add(ev)
	for w := range s.waiters {
		if strings.HasPrefix(ev.Entry.Key, w.prefix) {
			delete(s.waiters, w)
			close(w.wake)
		}
	}
}

func cloneEvents(events []store.Event) []store.Event {
	for i := range events {
		events[i].Entry = clone(events[i].Entry)
	}
	return events
}
