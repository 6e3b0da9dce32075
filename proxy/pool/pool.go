// Package pool manages the connections of one node to one target. It limits their
// number and opens some of them in advance.
package pool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// DefaultMaxIdle is the idle time after which a connection is closed unless
// SetMaxIdle changes it. It should be below the idle timeout of the targets, as the
// outcome of a request sent while the target closes its connection is unknown.
const DefaultMaxIdle = 20 * time.Second

// ErrFull reports that the connection limit is reached.
var ErrFull = errors.New("pool: connection limit reached")

// ErrClosed reports that the pool is closed.
var ErrClosed = errors.New("pool: closed")

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the connections to one target. It is safe for concurrent use; no lock
// is held while dialing.
type Pool struct {
	address string
	dial    Dial
	mu      sync.Mutex
	idle    []idleConn
	open    int
	limit   int
	maxIdle time.Duration
	closed  bool
}

type idleConn struct {
	conn      *forward.Conn
	idleSince time.Time
}

// New returns an empty pool with a limit on open connections.
func New(address string, dial Dial, limit int) *Pool {
	return &Pool{address: address, dial: dial, limit: limit, maxIdle: DefaultMaxIdle}
}

// SetMaxIdle changes the idle time after which a connection is closed.
func (p *Pool) SetMaxIdle(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = d
}

// SetLimit changes the connection limit. Connections above it are closed when they
// are returned.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Get returns a healthy idle connection that has not carried a request with this
// ID, or opens a new one. An empty ID allows any connection. Errors: ErrFull,
// ErrClosed, or the dial error.
func (p *Pool) Get(ctx context.Context, requestID string) (*forward.Conn, error) {
	p.closeExpired()
	for {
		conn, err := p.reserve(requestID)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.connect(ctx)
		}
		if conn.IsIdle() {
			return conn, nil
		}
		p.drop(conn)
	}
}

// Put returns a connection after an exchange. It is closed if the exchange did not
// end cleanly, as a late response on it would go to the next caller.
func (p *Pool) Put(c *forward.Conn) {
	if !c.Reusable() {
		p.drop(c)
		return
	}
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, idleConn{conn: c, idleSince: time.Now()})
	expired := p.takeExpired()
	p.mu.Unlock()
	closeAll(expired)
}

// Warm opens connections until n are open, the limit is reached or a dial fails.
func (p *Pool) Warm(ctx context.Context, n int) {
	for p.reserveWarm(n) {
		conn, err := p.connect(ctx)
		if err != nil {
			return
		}
		p.Put(conn)
	}
}

// Close closes idle connections at once and the others when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.closed = true
	p.mu.Unlock()
	closeAll(idle)
}

// PruneIdle closes connections that exceed the maximum idle time and returns the
// number of open connections, including those in use.
func (p *Pool) PruneIdle() int {
	p.closeExpired()
	return p.OpenCount()
}

// OpenCount returns the number of open connections, including those in use.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// reserve removes the most recently used idle connection that may carry the
// request. If there is none, it counts a new connection and returns nil; at the
// limit, the new connection replaces an idle one.
func (p *Pool) reserve(requestID string) (*forward.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	for n := len(p.idle) - 1; n >= 0; n-- {
		if conn := p.idle[n].conn; requestID == "" || !conn.Carried(requestID) {
			p.idle = slices.Delete(p.idle, n, n+1)
			return conn, nil
		}
	}
	switch {
	case p.open < p.limit:
		p.open++
	case p.open == p.limit && len(p.idle) > 0:
		p.idle[0].conn.Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	default:
		return nil, ErrFull
	}
	return nil, nil
}

func (p *Pool) reserveWarm(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open >= min(n, p.limit) {
		return false
	}
	p.open++
	return true
}

func (p *Pool) connect(ctx context.Context) (*forward.Conn, error) {
	c, err := p.dial(ctx, p.address)
	if err != nil {
		p.release()
		return nil, errors.Wrapf(err, "pool: connect to %s", p.address)
	}
	return forward.NewConn(c), nil
}

func (p *Pool) drop(c *forward.Conn) {
	c.Close()
	p.release()
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeExpired closes the connections that exceed the maximum idle time.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	expired := p.takeExpired()
	p.mu.Unlock()
	closeAll(expired)
}

// takeExpired removes the connections that exceed the maximum idle time from the
// list, which is in order of return. It must be called with mu held.
func (p *Pool) takeExpired() []idleConn {
	n := 0
	for n < len(p.idle) && time.Since(p.idle[n].idleSince) > p.maxIdle {
		n++
	}
	if n == 0 {
		return nil
	}
	expired := append([]idleConn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.open -= n
	return expired
}

func closeAll(conns []idleConn) {
	for _, c := range conns {
		c.conn.Close()
	}
}
