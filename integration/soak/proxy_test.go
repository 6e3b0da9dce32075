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
	// open holds the connections, both ends, with the VM that has opened them.
	open map[net.Conn]string
	// cuts are the modes for single VMs.
	cuts map[string]mode
}

func startProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, near: l.Addr().String(), upstream: upstream, open: make(map[net.Conn]string), cuts: make(map[string]mode)}
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

// isFor reports whether a mode holds for a VM.
func (p *proxy) isFor(vm string, m mode) bool {
	if p.is(m) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	cut, ok := p.cuts[vm]
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
	for c, owner := range p.open {
		if m == severed && owner == vm {
			reset(c)
			delete(p.open, c)
		}
	}
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
	vm := ""
	if p.vmOf != nil {
		vm = p.vmOf(near)
	}
	if p.isFor(vm, refuse) || p.isFor(vm, severed) {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(near)
		return
	}
	p.note(vm, near, far)
	go p.copy(vm, far, near, false)
	p.copy(vm, near, far, true)
}

func (p *proxy) note(vm string, conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.open[c] = vm
	}
}

// copy passes bytes on until one end closes; what a mode swallows is gone.
func (p *proxy) copy(vm string, to, from net.Conn, answers bool) {
	defer p.end(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.is(slow) {
			time.Sleep(slowBy)
		}
		swallowed := p.isFor(vm, silent) || (answers && p.is(oneWay))
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

// openOf counts the connections that a VM has open, both ends of each.
func (p *proxy) openOf(vm string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, owner := range p.open {
		if owner == vm {
			n++
		}
	}
	return n
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
