package spread

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// Pause between push attempts while no watcher responds.
const (
	pushPauseMin = 200 * time.Millisecond
	pushPauseMax = 5 * time.Second
)

// pushQueue holds locally published keys that no watcher has accepted yet. Each
// key is held once.
type pushQueue struct {
	mu    sync.Mutex
	keys  map[string]struct{}
	ready chan struct{}
}

func newPushQueue() *pushQueue {
	return &pushQueue{keys: map[string]struct{}{}, ready: make(chan struct{}, 1)}
}

func (q *pushQueue) add(keys ...string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		q.keys[key] = struct{}{}
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *pushQueue) take() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]string, 0, len(q.keys))
	for key := range q.keys {
		out = append(out, key)
	}
	clear(q.keys)
	return out
}

// runPush sends locally published items to a watcher, which distributes them.
// Watchers push too, because other nodes may not know them as watchers.
func (s *Service) runPush(ctx context.Context) {
	pause := pushPauseMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pushes.ready:
		}
		keys := s.pushes.take()
		if len(keys) == 0 || s.push(ctx, keys) {
			pause = pushPauseMin
			continue
		}
		s.pushes.add(keys...)
		if !wait.For(ctx, s.jitter(pause, jitterFraction)) {
			return
		}
		pause = min(2*pause, pushPauseMax)
	}
}

// push sends the items to the watchers in turn until one accepts them all.
func (s *Service) push(ctx context.Context, keys []string) bool {
	watchers := s.plan.Load().Watchers
	if len(watchers) == 0 {
		return true
	}
	for _, m := range s.lastSuccessfulFirst(watchers) {
		if err := s.pushTo(ctx, m, keys); err != nil {
			s.log.Debugf("spread: push to %s failed (%d items): %v", m.VM, len(keys), err)
			continue
		}
		s.lastPushPeer = m.VM
		return true
	}
	return false
}

func (s *Service) pushTo(ctx context.Context, m topology.Member, keys []string) error {
	client, err := s.client(m)
	if err != nil {
		return err
	}
	for _, part := range chunks(s.itemsOf(keys)) {
		if _, err := s.exchange(ctx, client, &peerpb.CompareRequest{Items: part}); err != nil {
			return err
		}
	}
	return nil
}

// lastSuccessfulFirst moves the watcher of the last successful push to the
// front, so that a hung watcher costs its timeout only once.
func (s *Service) lastSuccessfulFirst(watchers []topology.Member) []topology.Member {
	out := make([]topology.Member, 0, len(watchers))
	for _, m := range watchers {
		if m.VM == s.lastPushPeer {
			out = append(out, m)
		}
	}
	for _, m := range watchers {
		if m.VM != s.lastPushPeer {
			out = append(out, m)
		}
	}
	return out
}
