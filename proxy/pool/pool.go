// Package pool keeps the open connections of one node to one target within a
// bound, and has some of them open before they are needed.
package pool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// MaxIdle is how long a connection may stay unused, unless SetMaxIdle says less.
// Targets close idle connections after a time of their own; a request that crosses
// such a close is lost with an unknown outcome. So the pool must be the first to
// give up.
const MaxIdle = 20 * time.Second

// ErrFull tells that the node holds as many connections as it may.
var ErrFull = errors.New("pool: connection limit reached")

// ErrClosed tells that the target is no longer in use.
var ErrClosed = errors.New("pool: closed")

// Dial opens a connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the connections to one target. It is safe for use by several
// goroutines; no lock is held while a connection is opened.
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
	conn  *forward.Conn
	since time.Time
}

// New returns an empty pool with a bound on open connections.
func New(address string, dial Dial, limit int) *Pool {
	return &Pool{address: address, dial: dial, limit: limit, maxIdle: MaxIdle}
}

// SetMaxIdle changes how long a connection may stay unused.
func (p *Pool) SetMaxIdle(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = d
}

// SetLimit changes the bound; connections over the new one are closed as they
// come back.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Get returns an idle connection that is still quiet, or opens one. Errors:
// ErrFull, ErrClosed, or what dialling returned.
func (p *Pool) Get(ctx context.Context) (*forward.Conn, error) {
	p.dropOld()
	for {
		conn, err := p.reserve()
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

// Put takes a connection back after an exchange. One whose exchange did not
// end cleanly is closed: a late answer on it would go to the next caller.
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
	p.idle = append(p.idle, idleConn{conn: c, since: time.Now()})
	old := p.takeOld()
	p.mu.Unlock()
	closeAll(old)
}

// Warm opens connections until n are open or one fails.
func (p *Pool) Warm(ctx context.Context, n int) {
	for p.reserveWarm(n) {
		conn, err := p.connect(ctx)
		if err != nil {
			return
		}
		p.Put(conn)
	}
}

// Close closes idle connections now and the others as they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.closed = true
	p.mu.Unlock()
	closeAll(idle)
}

// Fresh closes connections that were idle for too long and returns the number
// of those left, those in use included.
func (p *Pool) Fresh() int {
	p.dropOld()
	return p.Open()
}

// Open returns the number of open connections, those in use included.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// reserve pops the connection used last, or counts a new one in and returns
// nil.
func (p *Pool) reserve() (*forward.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if n := len(p.idle); n > 0 {
		conn := p.idle[n-1].conn
		p.idle[n-1] = idleConn{}
		p.idle = p.idle[:n-1]
		return conn, nil
	}
	if p.open >= p.limit {
		return nil, ErrFull
	}
	p.open++
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
		p.forget()
		return nil, errors.Wrapf(err, "pool: connect to %s", p.address)
	}
	return forward.NewConn(c), nil
}

func (p *Pool) drop(c *forward.Conn) {
	c.Close()
	p.forget()
}

func (p *Pool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// dropOld closes the connections that have been idle for too long.
func (p *Pool) dropOld() {
	p.mu.Lock()
	old := p.takeOld()
	p.mu.Unlock()
	closeAll(old)
}

// takeOld removes the connections that have been idle for too long; the list is
// in the order in which they came back.
func (p *Pool) takeOld() []idleConn {
	n := 0
	for n < len(p.idle) && time.Since(p.idle[n].since) > p.maxIdle {
		n++
	}
	if n == 0 {
		return nil
	}
	old := append([]idleConn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.open -= n
	return old
}

func closeAll(conns []idleConn) {
	for _, c := range conns {
		c.conn.Close()
	}
}
