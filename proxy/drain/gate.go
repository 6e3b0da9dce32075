// Package drain counts the requests in hand and stops new ones when the node
// takes part in a planned stop.
package drain

import (
	"context"
	"sync"
)

// Gate lets requests in until it is closed. The zero value is open.
type Gate struct {
	mu      sync.Mutex
	open    int
	closed  bool
	emptied chan struct{}
}

// Enter counts a request in; it returns false once the gate is closed. The
// check and the count are one step: a request is either refused or waited for.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.open++
	return true
}

// Leave counts a request out.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	if g.closed && g.open == 0 {
		close(g.emptied)
	}
}

// Open returns the number of requests in hand.
func (g *Gate) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Close refuses new requests from now on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.emptied = make(chan struct{})
	if g.open == 0 {
		close(g.emptied)
	}
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
