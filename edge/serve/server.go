// Package serve is an HTTP/1.1 server that handles pipelined requests concurrently and
// writes their responses in order. net/http parses; each request has a goroutine.
package serve

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// readBufferSize and writeBufferSize are per connection, in bytes.
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxPipelined limits the concurrent requests of one connection.
	maxPipelined = 16
	// acceptRetryDelay is the pause after a failed accept, usually for lack of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// Limits restrict the requests of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Handler handles requests. The context is cancelled when the caller disconnects. A nil
// response closes the connection.
type Handler func(ctx context.Context, r *Request) *Response

// Options configure a Server.
type Options struct {
	// Address is ip:port.
	Address string
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// Memory limits the total size of buffered request bodies; nil means no limit.
	Memory Memory
	// MaxUnreadBytes limits the bodies of responses that callers have not read yet, in bytes. While
	// there are more, new requests are refused as not run; 0 means no limit.
	MaxUnreadBytes int64
	// IDField is the field of a request that responses made by the server itself repeat; "" for none.
	IDField string
	// RefusedHeader has more fields of responses to requests that were not passed to the handler.
	RefusedHeader http.Header
	Logger        *logrus.Entry
	// MaxConnections limits the open connections; 0 means no limit.
	MaxConnections int
	// WriteTimeout is how long a caller may read nothing of a response, unless it has a later deadline; 0 means
	// DefaultWriteTimeout.
	WriteTimeout time.Duration
}

// Memory is a limit on buffered bytes.
type Memory interface {
	Take(bytes int64) bool
	Give(bytes int64)
}

// Server is an HTTP/1.1 server on one address.
type Server struct {
	options  Options
	listener net.Listener
	closing  atomic.Bool
	inFlight atomic.Int64
	open     atomic.Int64
	// unread is the size of the bodies of responses that are not written yet, in bytes.
	unread atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Start listens and serves until Close. It returns an error if the address cannot
// be bound.
func Start(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "serve: listen on %s", o.Address)
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	s := &Server{options: o, listener: l, conns: make(map[*conn]struct{})}
	go s.accept()
	return s, nil
}

// Address returns the ip:port in use.
func (s *Server) Address() string { return s.listener.Addr().String() }

// InFlight returns the number of requests without a complete response.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// hasTooManyUnread reports whether callers that read slowly hold too much memory.
func (s *Server) hasTooManyUnread() bool {
	return s.options.MaxUnreadBytes > 0 && s.unread.Load() > s.options.MaxUnreadBytes
}

// DisableKeepAlives closes each connection after its requests in flight.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// StopListening stops accepting connections.
func (s *Server) StopListening() { _ = s.listener.Close() }

// CloseIdle closes the connections without requests in flight once their responses are delivered.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.StopListening()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.close()
	}
}

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.options.Logger.WithError(err).Warn("serve: accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if limit := s.options.MaxConnections; limit > 0 && s.open.Load() >= int64(limit) {
			_ = nc.Close()
			continue
		}
		s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, nc: nc, cancel: cancel, closed: make(chan struct{}), reader: bufio.NewReaderSize(nc, readBufferSize)}
	s.open.Add(1)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.run(ctx)
		s.open.Add(-1)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}
