// Package peerwatch finds TCP peers that are lost while they owe an acknowledgement, and tolerates peers that do
// not read.
package peerwatch

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// readingsPerTimeout is how often the kernel's state is read within one timeout: before the user timeout of a
// peer that has just stopped reading expires, also by a process that is late.
const readingsPerTimeout = 4

// Options configure Dial.
type Options struct {
	Dialer net.Dialer
	// Timeout is how long sent data may stay unacknowledged.
	Timeout time.Duration
}

// Conn is a connection whose peer is watched during exchanges. The methods of an exchange are for one goroutine.
type Conn struct {
	*net.TCPConn
	options Options
	raw     syscall.RawConn

	mu      sync.Mutex
	decider decider
	// exchange counts the exchanges, lost is called if the peer is lost in the present one; nil between
	// exchanges.
	exchange uint64
	lost     func()
	timer    *time.Timer
}

// Dial connects to an IPv4 address.
func Dial(ctx context.Context, address string, o Options) (*Conn, error) {
	nc, err := o.Dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	tcp := nc.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, o.Timeout)
	}
	if err != nil {
		_ = tcp.Close()
		return nil, errors.Wrap(err, "peerwatch: set the user timeout")
	}
	return &Conn{TCPConn: tcp, options: o, raw: raw, decider: decider{timeout: o.Timeout}}, nil
}

// ExchangeBegins begins to watch the peer, before a request is written. lost is called at most once, from another
// goroutine, if the peer is found lost while it does not read; otherwise the connection's own error tells.
func (c *Conn) ExchangeBegins(lost func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange++
	c.lost = lost
	c.scheduleLocked(c.exchange)
}

// ExchangeEnds ends the watch.
func (c *Conn) ExchangeEnds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = nil
	c.timer.Stop()
}

// scheduleLocked schedules the next reading. The caller holds mu.
func (c *Conn) scheduleLocked(exchange uint64) {
	c.timer = time.AfterFunc(c.options.Timeout/readingsPerTimeout, func() { c.read(exchange) })
}

// read reads the kernel's state and acts on it.
func (c *Conn) read(exchange uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != exchange || c.lost == nil {
		return
	}
	i, err := readInfo(c.raw)
	if err != nil {
		// The connection is closed, or the platform tells nothing: the user timeout stays as it is.
		return
	}
	c.actLocked(exchange, c.decider.observe(time.Now(), i))
}

// actLocked acts on a decision. The caller holds mu.
func (c *Conn) actLocked(exchange uint64, a action) {
	switch a {
	case finish:
		return
	case lose:
		c.lost()
		return
	case suspend:
		_ = setUserTimeout(c.raw, 0)
	case resume:
		_ = setUserTimeout(c.raw, c.options.Timeout)
	case check:
		go c.check(exchange)
	}
	c.scheduleLocked(exchange)
}

// check connects to the peer anew.
func (c *Conn) check(exchange uint64) {
	reached := c.isReached()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.decider.checked(time.Now(), reached)
	if c.exchange != exchange || c.lost == nil {
		c.decider.checking = false
		return
	}
	switch a {
	case check:
		go c.check(exchange)
	case lose:
		c.timer.Stop()
		c.lost()
	}
}

// isReached reports whether the peer's machine answers. It does so too where it refuses the connection.
func (c *Conn) isReached() bool {
	nc, err := c.options.Dialer.Dial("tcp4", c.RemoteAddr().String())
	if err == nil {
		_ = nc.Close()
		return true
	}
	return !isTimeout(err) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EHOSTUNREACH)
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}
