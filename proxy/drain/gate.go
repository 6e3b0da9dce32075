// Package drain counts requests in flight and refuses new ones during a graceful
// shutdown.
package drain

import (
	"context"
	"sync"
	"sync/atomic"
)

// closedBit marks a closed gate; the lower bits count the requests in flight.
const closedBit = int64(1) << 62

// Gate admits requests until it is closed. The zero value is open.
type Gate struct {
	state       atomic.Int64
	closeOnce   sync.Once
	drainedOnce sync.Once
	drained     chan struct{}
}

// Enter counts a new request, or returns false once the gate is closed. The check
// and the count are atomic: Wait waits for every request that is not refused.
func (g *Gate) Enter() bool {
	if g.state.Add(1)&closedBit == 0 {
		return true
	}
	g.Leave()
	return false
}

// Leave ends a request admitted by Enter.
func (g *Gate) Leave() { g.signal(g.state.Add(-1)) }

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int { return int(g.state.Load() &^ closedBit) }

// Closed reports whether new requests are refused.
func (g *Gate) Closed() bool { return g.state.Load()&closedBit != 0 }

// Close makes the gate refuse new requests.
func (g *Gate) Close() {
	g.closeOnce.Do(func() {
		g.drained = make(chan struct{})
		g.signal(g.state.Add(closedBit))
	})
}

// Wait closes the gate and returns when no request is in flight, or with the
// context's error.
func (g *Gate) Wait(ctx context.Context) error {
	g.Close()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signal wakes the waiters once the gate is closed and no request is in flight.
func (g *Gate) signal(state int64) {
	if state == closedBit {
		g.drainedOnce.Do(func() { close(g.drained) })
	}
}
