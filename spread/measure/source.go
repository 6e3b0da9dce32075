package measure

import (
	"context"
	"fmt"
	"sync"
)

// state is one state of a key at the stand-in for the store.
type state struct {
	key      string
	sequence uint64
	body     []byte
}

// source stands for the store: it hands every watcher all states, then each
// change.
type source struct {
	mu       sync.Mutex
	states   []state
	watchers map[chan state]struct{}
	changes  uint64
	bodySize int
}

// backlog is how many changes a watcher may be behind.
const backlog = 10000

func newSource(items, bodySize int) *source {
	s := &source{watchers: map[chan state]struct{}{}, bodySize: bodySize}
	for i := range items {
		s.states = append(s.states, state{key: fmt.Sprintf("account/customer-%05d", i), sequence: 1, body: s.body(1)})
	}
	return s
}

// body makes a text that differs with each change.
func (s *source) body(n uint64) []byte {
	out := make([]byte, 0, s.bodySize+8)
	for i := uint64(0); len(out) < s.bodySize; i++ {
		out = fmt.Appendf(out, "%x", (n+i)*0x9e3779b97f4a7c15)
	}
	return out[:s.bodySize]
}

// change makes the next change and returns it.
func (s *source) change() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes++
	i := int(s.changes) % len(s.states)
	s.states[i].sequence++
	s.states[i].body = s.body(s.changes)
	for w := range s.watchers {
		w <- s.states[i]
	}
	return s.states[i]
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}

// Run implements spread.Source.
func (s *source) Run(ctx context.Context, emit func(string, uint64, uint64, []byte)) error {
	changes := make(chan state, backlog)
	s.mu.Lock()
	first := append([]state(nil), s.states...)
	s.watchers[changes] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, changes)
	}()
	for _, st := range first {
		emit(st.key, 1, st.sequence, st.body)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case st := <-changes:
			emit(st.key, 1, st.sequence, st.body)
		}
	}
}
