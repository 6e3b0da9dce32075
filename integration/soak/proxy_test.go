package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/standin/loopback"
)

// mode is what a proxy does to the bytes of its connections.
type mode int32

const (
	pass mode = iota
	// slow holds each piece back for slowBy.
	slow
	// silent takes bytes and passes none on, in both directions.
	silent
	// oneWay passes requests on and swallows answers.
	oneWay
	// refuse closes new connections at once.
	refuse
	modes
)

func (m mode) String() string { return [...]string{"pass", "slow", "silent", "one way", "refuse"}[m] }

const slowBy = 60 * time.Millisecond

// proxy stands on the path to one server.
type proxy struct {
	upstream string
	// near is the address that it listens on.
	near string
	mode atomic.Int32
	mu   sync.Mutex
	// listener is nil while the server behind it is down.
	listener net.Listener
	open     map[net.Conn]bool
}

func startProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, near: l.Addr().String(), upstream: upstream, open: make(map[net.Conn]bool)}
	go p.accept(l)
	return p, nil
}

// down ends all connections and refuses new ones, as the port of a server that has ended does.
func (p *proxy) down() {
	p.mu.Lock()
	l := p.listener
	p.listener = nil
	p.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	p.resetAll()
}

// up listens again.
func (p *proxy) up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	var l net.Listener
	err := loopback.Rebind(func() (err error) {
		l, err = net.Listen("tcp", p.near)
		return err
	})
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *proxy) address() string { return p.near }
func (p *proxy) set(m mode)      { p.mode.Store(int32(m)) }
func (p *proxy) is(m mode) bool  { return mode(p.mode.Load()) == m }

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if p.is(refuse) {
			reset(c)
			continue
		}
		go p.carry(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) carry(near net.Conn) {
	far, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(near)
		return
	}
	p.note(near, far)
	go p.copy(far, near, false)
	p.copy(near, far, true)
}

func (p *proxy) note(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.open[c] = true
	}
}

// copy passes bytes on until one end closes; what a mode swallows is gone.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer p.end(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.is(slow) {
			time.Sleep(slowBy)
		}
		swallowed := p.is(silent) || (answers && p.is(oneWay))
		if n > 0 && !swallowed {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && !swallowed {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
			}
			return
		}
	}
}

func (p *proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.open, c)
		_ = c.Close()
	}
}

// resetAll resets the connections that are open.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
		delete(p.open, c)
	}
}

func (p *proxy) close() { p.down() }
