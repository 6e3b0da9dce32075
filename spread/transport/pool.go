package transport

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// Pool keeps one connection for each address. It is safe for use by several
// goroutines. A connection that carries no call closes its socket after the
// library's idle time and connects again when used.
type Pool struct {
	options []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// NewPool returns a pool that dials with DialOptions and the options given,
// which must hold the credentials.
func NewPool(extra ...grpc.DialOption) *Pool {
	return &Pool{
		options: append(DialOptions(), extra...),
		conns:   map[string]*grpc.ClientConn{},
	}
}

// Dial returns the connection to an address; it connects when it is first
// used. It fails for a malformed address and after Close.
func (p *Pool) Dial(address string) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("spread: connection pool is closed")
	}
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, errors.Wrapf(err, "spread: dial %s", address)
	}
	p.conns[address] = conn
	return conn, nil
}

// Retain closes the connections to addresses that keep does not accept, such
// as those of VMs which left the list.
func (p *Pool) Retain(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if !keep(address) {
			_ = conn.Close()
			delete(p.conns, address)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}
