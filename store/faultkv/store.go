// Package faultkv injects faults between a client and a key-value service:
// outages, delays, lost responses, lost writes, and writes that are applied after
// the client has received an error. It also counts the calls.
package faultkv

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/store"
)

// Store wraps a store.KV and injects faults. It is safe for concurrent use.
type Store struct {
	inner store.KV

	mu     sync.Mutex
	choose Chooser
	counts Counts
	// outageStarted is closed during an outage, so that waiting calls end.
	outageStarted chan struct{}
	inOutage      bool

	lateWrites sync.WaitGroup
}

var _ store.KV = (*Store)(nil)

// New wraps inner; with a nil chooser no faults are injected.
func New(inner store.KV, choose Chooser) *Store {
	return &Store{inner: inner, choose: choose, outageStarted: make(chan struct{})}
}

// SetChooser replaces the chooser; nil injects no faults.
func (s *Store) SetChooser(choose Chooser) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choose = choose
}

// SetOutage starts or ends an outage. An outage refuses new calls and cancels
// waiting calls, whose responses are lost.
func (s *Store) SetOutage(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if active == s.inOutage {
		return
	}
	s.inOutage = active
	if active {
		close(s.outageStarted)
		return
	}
	s.outageStarted = make(chan struct{})
}

// InOutage reports whether there is an outage.
func (s *Store) InOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inOutage
}

// Counts returns the number of calls so far, including refused calls.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// WaitLate waits until every late write has been attempted.
func (s *Store) WaitLate() {
	s.lateWrites.Wait()
}

// decide counts the call and returns its decision, with a channel that is closed
// when an outage starts.
func (s *Store) decide(kind Kind, key string) (Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
	if s.inOutage {
		return Decision{Fault: Refuse}, s.outageStarted
	}
	if s.choose == nil {
		return Decision{}, s.outageStarted
	}
	call := Call{Kind: kind, Key: key, Number: s.counts[kind]}
	return s.choose(call), s.outageStarted
}

// run decides on one call and applies it accordingly.
func (s *Store) run(ctx context.Context, kind Kind, key string, apply func(context.Context) error) error {
	decision, outageStarted := s.decide(kind, key)
	if decision.Fault == Refuse {
		return store.ErrUnavailable
	}
	lostErr := lostResponseError(kind)
	ctx, cancel := contextUntilClosed(ctx, outageStarted)
	defer cancel()
	if !wait.For(ctx, decision.DelayBefore) {
		return lostErr
	}
	switch decision.Fault {
	case Drop:
		return lostErr
	case ApplyLate:
		s.applyLate(kind, decision.LateBy, apply)
		return lostErr
	}
	err := apply(ctx)
	if !wait.For(ctx, decision.DelayAfter) || decision.Fault == LoseAnswer {
		return lostErr
	}
	return err
}

func (s *Store) applyLate(kind Kind, delay time.Duration, apply func(context.Context) error) {
	if !kind.Writes() {
		return
	}
	s.lateWrites.Go(func() {
		time.Sleep(delay)
		// The caller gets lostResponseError instead of this result.
		_ = apply(context.Background())
	})
}

// lostResponseError returns the error of a call whose response was lost.
func lostResponseError(kind Kind) error {
	if kind.Writes() {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

// contextUntilClosed returns a context that also ends when closed is closed.
func contextUntilClosed(ctx context.Context, closed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		select {
		case <-closed:
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
