package target

import (
	"context"
	"errors"
	"sync/atomic"
)

// errBusy tells that the queue is full.
var errBusy = errors.New("target: queue full")

// slots bounds the requests that run and wait.
type slots struct {
	free    chan struct{}
	present atomic.Int32
	most    int32
}

func newSlots(running, waiting int) *slots {
	s := &slots{free: make(chan struct{}, running), most: int32(running + waiting)}
	for range running {
		s.free <- struct{}{}
	}
	return s
}

// enter waits for a slot. It returns errBusy at once if too many wait already,
// or the context's error.
func (s *slots) enter(ctx context.Context) error {
	if s.present.Add(1) > s.most {
		s.present.Add(-1)
		return errBusy
	}
	select {
	case <-s.free:
		return nil
	case <-ctx.Done():
		s.present.Add(-1)
		return ctx.Err()
	}
}

func (s *slots) leave() {
	s.free <- struct{}{}
	s.present.Add(-1)
}

// load returns the requests that run or wait.
func (s *slots) load() int { return int(s.present.Load()) }
