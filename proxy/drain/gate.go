// Package drain counts the requests in hand and stops new ones when the node
// takes part in a planned stop.
package drain

import (
	"context"
	"sync"
	"sync/atomic"
)

// closed marks a gate that lets nothing in; the bits below it count.
const closed = int64(1) << 62

// Gate lets requests in until it is closed. The zero value is open.
type Gate struct {
	state   atomic.Int64
	closing sync.Once
	ending  sync.Once
	emptied chan struct{}
}

// Enter counts a request in; it returns false once the gate is closed. The
// check and the count are one step: a request is either refused or waited for.
func (g *Gate) Enter() bool {
	if g.state.Add(1)&closed == 0 {
		return true
	}
	g.Leave()
	return false
}

// Leave counts a request out.
func (g *Gate) Leave() { g.signal(g.state.Add(-1)) }

// InFlight returns the number of requests in hand.
func (g *Gate) InFlight() int { return int(g.state.Load() &^ closed) }

// Closed reports whether new requests are refused.
func (g *Gate) Closed() bool { return g.state.Load()&closed != 0 }

// Close refuses new requests from now on.
func (g *Gate) Close() {
	g.closing.Do(func() {
		g.emptied = make(chan struct{})
		g.signal(g.state.Add(closed))
	})
}

// Wait closes the gate and returns when the last request has left, or with the
// context's error.
func (g *Gate) Wait(ctx context.Context) error {
	g.Close()
	select {
	case <-g.emptied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signal tells the waiters when the gate is closed and nothing is left.
func (g *Gate) signal(state int64) {
	if state == closed {
		g.ending.Do(func() { close(g.emptied) })
	}
}
