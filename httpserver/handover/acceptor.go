// Package handover accepts connections and hands them to an nbio engine in such
// a way that no event of an earlier connection reaches them.
//
// A poller fetches events in batches and finds the connection of each by its
// descriptor. When a connection is closed by another goroutine than its poller
// (a time-out, a failed write, a stop), an event already fetched for it is
// applied to whichever connection has the descriptor by then. It shows as a
// sound connection that is closed before its request is read.
package handover

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// acceptPause is the time between two tries after a failure, most likely
	// for want of descriptors: some become free again.
	acceptPause = 10 * time.Millisecond
	// maxBatch bounds the connections that one barrier lets pass together.
	maxBatch = 128
)

// Acceptor takes connections from a listener until Stop.
type Acceptor struct {
	listener net.Listener
	take     func(*nbio.Conn)
	barriers []*barrier
	// accepting is the loop on the listener, passing the loops of the barriers.
	accepting, passing sync.WaitGroup
	stopping           sync.Once
}

// Start accepts connections and calls take for each, from several goroutines;
// take adds it to the engine or closes it. The engine must have been started, and
// give what it reads to the connection's own handler, as nbhttp's does.
// When Start returns without an error every poller of the engine runs.
//
// After an error the engine must not be stopped: it forgets a stop that comes
// before a poller has begun, which then spins on the stop's event for ever, and
// nothing tells whether a poller without a probe has begun. It stays idle instead
// until the process ends.
func Start(engine *nbio.Engine, l net.Listener, take func(*nbio.Conn)) (*Acceptor, error) {
	barriers, err := newBarriers(engine)
	if err != nil {
		return nil, err
	}
	a := &Acceptor{listener: l, take: take, barriers: barriers}
	for _, b := range barriers {
		b.pass()
		a.passing.Go(func() { a.pass(b) })
	}
	a.accepting.Go(a.accept)
	return a, nil
}

// Stop closes the listener and returns when take will not be called any more.
// Call it before the engine is stopped. Further calls do nothing.
func (a *Acceptor) Stop() { a.stopping.Do(a.stop) }

func (a *Acceptor) stop() {
	_ = a.listener.Close()
	a.accepting.Wait()
	for _, b := range a.barriers {
		close(b.pending)
	}
	a.passing.Wait()
	closeBarriers(a.barriers)
}

func (a *Acceptor) accept() {
	for {
		c, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		nbc, err := nbio.NBConn(c)
		if err != nil {
			_ = c.Close()
			continue
		}
		a.barriers[pollerOf(nbc, len(a.barriers))].pending <- nbc
	}
}

// pass lets the connections of one poller through, all that have come with one
// passing of the barrier.
func (a *Acceptor) pass(b *barrier) {
	for first := range b.pending {
		batch := b.gather(first)
		b.pass()
		for _, c := range batch {
			a.take(c)
		}
	}
}

// pollerOf returns the poller that the engine gives a connection to.
func pollerOf(c *nbio.Conn, pollers int) int { return c.Hash() % pollers }
