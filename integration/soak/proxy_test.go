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
	// severed resets the connections that are open, and new ones after they were accepted.
	severed
)

func (m mode) String() string {
	return [...]string{"pass", "slow", "silent", "one way", "refuse", "", "severed"}[m]
}

const slowBy = 60 * time.Millisecond

// proxy stands on the path to one server.
type proxy struct {
	upstream string
	// near is the address that it listens on.
	near string
	mode atomic.Int32
	// vmOf returns the VM that has opened a connection; nil if no VM is told from another.
	vmOf func(net.Conn) string
	mu   sync.Mutex
	// listener is nil while the server behind it is down.
	listener net.Listener
	// links are the connections that are open.
	links map[*link]bool
	// cuts are the modes for single VMs.
	cuts map[string]mode
}

// link is a connection and its continuation to the server. vm is the VM that has opened it, "" if it was
// not looked up; the lock of the proxy guards it.
type link struct {
	near, far net.Conn
	vm        string
}

func startProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, near: l.Addr().String(), upstream: upstream, links: make(map[*link]bool), cuts: make(map[string]mode)}
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

// isFor reports whether a mode holds for a connection.
func (p *proxy) isFor(l *link, m mode) bool {
	if p.is(m) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cuts) == 0 {
		return false
	}
	cut, ok := p.cuts[l.vm]
	return ok && cut == m
}

// cut sets the mode for one VM, pass ends it.
func (p *proxy) cut(vm string, m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cuts, vm)
	if m == pass {
		return
	}
	p.cuts[vm] = m
	p.lookUp()
	for l := range p.links {
		if m == severed && l.vm == vm {
			reset(l.near)
			reset(l.far)
			delete(p.links, l)
		}
	}
}

// lookUp finds the VMs of all connections. It is slow, so that it is not done while no VM is cut.
func (p *proxy) lookUp() {
	for l := range p.links {
		if l.vm == "" {
			l.vm = p.vmOf(l.near)
		}
	}
}

// hasCuts reports whether connections must be told apart.
func (p *proxy) hasCuts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.cuts) > 0
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
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
	l := &link{near: near}
	if p.hasCuts() {
		l.vm = p.vmOf(near)
	}
	if p.isFor(l, refuse) || p.isFor(l, severed) {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(near)
		return
	}
	l.far = far
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	go p.copy(l, far, near, false)
	p.copy(l, near, far, true)
}

// copy passes bytes on until one end closes; what a mode swallows is gone.
func (p *proxy) copy(l *link, to, from net.Conn, answers bool) {
	defer p.end(l)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.is(slow) {
			time.Sleep(slowBy)
		}
		swallowed := p.isFor(l, silent) || (answers && p.is(oneWay))
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

// openOf counts the connections that a VM has open.
func (p *proxy) openOf(vm string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookUp()
	for l := range p.links {
		if l.vm == vm {
			n++
		}
	}
	return n
}

func (p *proxy) end(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
	_ = l.near.Close()
	_ = l.far.Close()
}

// resetAll resets the connections that are open.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		reset(l.near)
		reset(l.far)
		delete(p.links, l)
	}
}

func (p *proxy) close() { p.down() }
