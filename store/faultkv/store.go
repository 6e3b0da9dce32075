// Package faultkv puts faults between a caller and a key-value service: the
// service is out or slow, a write's answer is lost, a write is lost, or a
// write arrives long after the caller has given it up. It counts the calls.
package faultkv

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/store"
)

// Store wraps a store.KV. It is safe for use by several goroutines.
type Store struct {
	inner store.KV

	mu     sync.Mutex
	choose Chooser
	counts Counts
	// out is closed while the service is out, so that waiting calls end.
	out   chan struct{}
	isOut bool

	late sync.WaitGroup
}

var _ store.KV = (*Store)(nil)

// New wraps inner; a nil chooser passes all calls on.
func New(inner store.KV, choose Chooser) *Store {
	return &Store{inner: inner, choose: choose, out: make(chan struct{})}
}

// SetChooser replaces the chooser.
func (s *Store) SetChooser(choose Chooser) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choose = choose
}

// SetOutage starts or ends an outage. During it every call is refused, and a
// call already waiting ends as lost.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == s.isOut {
		return
	}
	s.isOut = on
	if on {
		close(s.out)
		return
	}
	s.out = make(chan struct{})
}

// InOutage reports whether there is an outage.
func (s *Store) InOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOut
}

// Counts returns the calls made so far, refused ones included.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// WaitLate waits until every late write has been attempted.
func (s *Store) WaitLate() {
	s.late.Wait()
}

// start counts the call and decides what happens to it.
func (s *Store) start(kind Kind, key string) (Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
	if s.isOut {
		return Decision{Fault: Refuse}, s.out
	}
	if s.choose == nil {
		return Decision{}, s.out
	}
	call := Call{Kind: kind, Key: key, Number: s.counts[kind]}
	return s.choose(call), s.out
}

// run makes one call under its decision. work talks to the service.
func (s *Store) run(ctx context.Context, kind Kind, key string, work func(context.Context) error) error {
	decision, out := s.start(kind, key)
	if decision.Fault == Refuse {
		return store.ErrUnavailable
	}
	lost := lostError(kind)
	ctx, cancel := contextUntil(ctx, out)
	defer cancel()
	if !wait.For(ctx, decision.DelayBefore) {
		return lost
	}
	switch decision.Fault {
	case Drop:
		return lost
	case ApplyLate:
		s.applyLate(kind, decision.LateBy, work)
		return lost
	}
	err := work(ctx)
	if !wait.For(ctx, decision.DelayAfter) || decision.Fault == LoseAnswer {
		return lost
	}
	return err
}

func (s *Store) applyLate(kind Kind, by time.Duration, work func(context.Context) error) {
	if !kind.Writes() {
		return
	}
	s.late.Go(func() {
		time.Sleep(by)
		// The caller has its answer; nobody waits for this one.
		_ = work(context.Background())
	})
}

// lostError is what a caller may conclude when no answer came.
func lostError(kind Kind) error {
	if kind.Writes() {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

// contextUntil returns a context that also ends when out is closed.
func contextUntil(ctx context.Context, out <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		select {
		case <-out:
			cancel()
		case <-done:
		}
	}()
	var once sync.Once
	return ctx, func() {
		once.Do(func() { close(done) })
		cancel()
	}
}
