package memkv

import (
	"context"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// waiter is a pending watch; wake is closed at the next change under its prefix.
type waiter struct {
	prefix string
	wake   chan struct{}
}

// Watch implements store.KV. It waits for the first change for at most
// Options.WatchWait.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	deadline := time.NewTimer(s.options.WatchWait)
	defer deadline.Stop()
	for {
		batch, w := s.changesOrWaiter(prefix, after)
		if w == nil {
			return batch, nil
		}
		select {
		case <-w.wake:
		case <-deadline.C:
			s.removeWaiter(w)
			batch, last := s.changesOrWaiter(prefix, after)
			s.removeWaiter(last)
			return batch, nil
		case <-ctx.Done():
			s.removeWaiter(w)
			return store.Batch{}, store.ErrUnavailable
		}
	}
}

// changesOrWaiter returns a batch, or, when there is no change yet, an empty batch
// and a waiter. The waiter is registered under the same lock, so that no change
// is missed in between.
func (s *Store) changesOrWaiter(prefix string, after store.Revision) (store.Batch, *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A revision of another era stands for another state, and one above the current one does not exist;
	// the watcher must list again. Revision 0 is before all others.
	if after > s.revision || after != 0 && after.Era() != s.era {
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

func (s *Store) removeWaiter(w *waiter) {
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
