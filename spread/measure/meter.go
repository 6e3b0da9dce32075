package measure

import (
	"net"
	"sync"
	"sync/atomic"
)

// meter counts the traffic of one node.
type meter struct {
	bytes  atomic.Int64
	writes atomic.Int64
	// open counts connections that are open now.
	open atomic.Int64
	// acrossBytes and acrossWrites count connections the node made to other
	// regions, both ways.
	acrossBytes  atomic.Int64
	acrossWrites atomic.Int64
}

// gate holds up a node's traffic without an error, as a process that hangs.
type gate struct {
	mu   sync.Mutex
	held chan struct{}
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == nil {
		g.held = make(chan struct{})
	}
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held != nil {
		close(g.held)
		g.held = nil
	}
}

// pass returns when the gate is open.
func (g *gate) pass() {
	for {
		g.mu.Lock()
		held := g.held
		g.mu.Unlock()
		if held == nil {
			return
		}
		<-held
	}
}

// meteredConn is a connection of one node.
type meteredConn struct {
	net.Conn
	meter *meter
	gate  *gate
	// across tells that the node made it to another region.
	across bool
	closed atomic.Bool
}

func newMeteredConn(conn net.Conn, m *meter, g *gate, across bool) *meteredConn {
	m.open.Add(1)
	return &meteredConn{Conn: conn, meter: m, gate: g, across: across}
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	if !c.closed.Swap(true) {
		c.meter.open.Add(-1)
	}
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.pass()
	c.meter.bytes.Add(int64(n))
	if c.across {
		c.meter.acrossBytes.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	c.gate.pass()
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	c.meter.writes.Add(1)
	if c.across {
		c.meter.acrossBytes.Add(int64(n))
		c.meter.acrossWrites.Add(1)
	}
	return n, err
}

// meteredListener meters what it accepts.
type meteredListener struct {
	net.Listener
	meter *meter
	gate  *gate
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newMeteredConn(conn, l.meter, l.gate, false), nil
}
