// Package handover accepts connections and adds them to an nbio engine without
// exposing them to stale events.
//
// A poller fetches events in batches and looks up connections by descriptor. If
// another goroutine closes a connection, an event already fetched for it can close
// a new connection that reuses the descriptor before its request is read.
//
// It also stops the engine: nbio wakes each poller by a write to a descriptor that the
// poller closes when it ends, and a poller that ends first lets that write reach
// whatever connection reuses the descriptor.
package handover

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// acceptRetryDelay is the delay after a failed accept, which is usually caused
	// by a temporary shortage of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// maxBatch limits the connections delivered after one wait on a barrier.
	maxBatch = 128
)

// Acceptor accepts connections from a listener until Stop is called.
type Acceptor struct {
	engine   *nbio.Engine
	listener net.Listener
	onAccept func(*nbio.Conn)
	barriers []*barrier
	// deliverLoops has one goroutine per poller.
	acceptLoop, deliverLoops sync.WaitGroup
	stopOnce, stopEngineOnce sync.Once
}

// Start accepts connections and calls onAccept for each, from several goroutines;
// onAccept must add it to the engine or close it. The engine must be started and
// pass data to the connection's own handler, as nbhttp does. When Start returns
// without an error, every poller of the engine is running.
//
// After an error, do not stop the engine: a poller that has not started yet would
// miss the stop and spin forever.
func Start(engine *nbio.Engine, l net.Listener, onAccept func(*nbio.Conn)) (*Acceptor, error) {
	barriers, err := newBarriers(engine)
	if err != nil {
		return nil, err
	}
	a := &Acceptor{engine: engine, listener: l, onAccept: onAccept, barriers: barriers}
	for _, b := range barriers {
		b.wait()
		a.deliverLoops.Go(func() { a.deliver(b) })
	}
	a.acceptLoop.Go(a.accept)
	return a, nil
}

// Stop closes the listener and returns once onAccept is no longer called. Further
// calls have no effect.
func (a *Acceptor) Stop() { a.stopOnce.Do(a.stop) }

func (a *Acceptor) stop() {
	_ = a.listener.Close()
	a.acceptLoop.Wait()
	for _, b := range a.barriers {
		close(b.pending)
	}
	a.deliverLoops.Wait()
}

// StopEngine stops the engine by stop, which must be its Stop method or that of the
// nbhttp engine around it. Call it after Stop and in place of those methods. Further
// calls have no effect.
func (a *Acceptor) StopEngine(stop func()) { a.stopEngineOnce.Do(func() { a.stopEngine(stop) }) }

// stopEngine holds all pollers until stop has written the wake-up of each. The engine
// waits for its pollers as a sync.WaitGroup: while they are held, they do not count.
func (a *Acceptor) stopEngine(stop func()) {
	for _, b := range a.barriers {
		b.hold()
	}
	a.engine.Add(-len(a.barriers))
	stop()
	a.engine.Add(len(a.barriers))
	for _, b := range a.barriers {
		b.release()
	}
	a.engine.Wait()
	closeBarriers(a.barriers)
}

func (a *Acceptor) accept() {
	for {
		c, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
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

// deliver calls onAccept for the pending connections of one poller, in batches that
// share a wait on the barrier.
func (a *Acceptor) deliver(b *barrier) {
	for first := range b.pending {
		batch := b.collectBatch(first)
		b.wait()
		for _, c := range batch {
			a.onAccept(c)
		}
	}
}

// pollerOf returns the index of the poller that the engine assigns to a connection.
func pollerOf(c *nbio.Conn, pollers int) int { return c.Hash() % pollers }
