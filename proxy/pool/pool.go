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

// idleTime is how long a connection over the warmed number may stay unused.
const idleTime = 30 * time.Second

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
	keep    int
	closed  bool
}

type idleConn struct {
	conn  *forward.Conn
	since time.Time
}

// New returns an empty pool. Limit bounds open connections, keep is how many
// idle ones are not closed for their age.
func New(address string, dial Dial, limit, keep int) *Pool {
	return &Pool{address: address, dial: dial, limit: limit, keep: min(keep, limit)}
}

// SetLimit changes the bounds; connections over the new one are closed as they
// come back.
func (p *Pool) SetLimit(limit, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.keep = min(keep, limit)
}

// Get returns an idle connection that is still quiet, or opens one. Errors:
// ErrFull, ErrClosed, or what dialling returned.
func (p *Pool) Get(ctx context.Context) (*forward.Conn, error) {
	for {
		conn, err := p.reserve()
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.connect(ctx)
		}
		if conn.Quiet() {
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
	if old != nil {
		old.Close()
	}
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
	for _, i := range idle {
		i.conn.Close()
	}
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

// takeOld removes the connection idle for longest if it is over the number to
// keep and has been idle for too long.
func (p *Pool) takeOld() *forward.Conn {
	if len(p.idle) <= p.keep || time.Since(p.idle[0].since) < idleTime {
		return nil
	}
	old := p.idle[0].conn
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.open--
	return old
}
