// Package serve is an HTTP/1.1 server whose connections take several requests at
// once: a caller may send requests ahead, they are worked on together and answered
// in their order. The standard library parses, each request has a goroutine.
package serve

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// readBuffer and writeBuffer of one connection, in bytes.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// maxAhead bounds the requests of one connection that are worked on.
	maxAhead = 16
	// writeTime bounds how long a caller may take to read an answer.
	writeTime = 15 * time.Second
	// acceptPause is the time between two tries after a failure, most likely for
	// want of descriptors.
	acceptPause = 10 * time.Millisecond
)

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Handler answers requests. The context ends when the caller goes away. A nil
// answer closes the connection.
type Handler func(ctx context.Context, r *Request) *Response

// Options configure a Server.
type Options struct {
	// Address is ip:port.
	Address string
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// Memory bounds the request bodies held in sum; nil does not bound them.
	Memory Memory
	Logger *logrus.Entry
	// MaxConnections bounds the open connections; 0 does not.
	MaxConnections int
}

// Memory is a bound on buffered bytes.
type Memory interface {
	Take(bytes int64) bool
	Give(bytes int64)
}

// Server is a running server.
type Server struct {
	options  Options
	listener net.Listener
	parting  atomic.Bool
	busy     atomic.Int64
	open     atomic.Int64

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
	s := &Server{options: o, listener: l, conns: make(map[*conn]struct{})}
	go s.accept()
	return s, nil
}

// Address returns the ip:port in use.
func (s *Server) Address() string { return s.listener.Addr().String() }

// InFlight returns the requests whose answers are not wholly given.
func (s *Server) InFlight() int { return int(s.busy.Load()) }

// DisableKeepAlives ends each connection with its next answer.
func (s *Server) DisableKeepAlives() { s.parting.Store(true) }

// StopListening takes no more connections.
func (s *Server) StopListening() { _ = s.listener.Close() }

// CloseIdle closes the connections that have no request in flight.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.StopListening()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.shut()
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
			time.Sleep(acceptPause)
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
	c := &conn{server: s, nc: nc, cancel: cancel, reader: bufio.NewReaderSize(nc, readBuffer)}
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
