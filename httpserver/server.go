// Package httpserver runs an HTTP server on nbio's nbhttp engine. nbhttp buffers
// the whole body before it calls the handler, so the body limit bounds the memory
// used by a request.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/httpserver/handover"
)

// headerAllowanceBytes is the space for request headers in a connection's read
// buffer, in addition to the body limit.
const headerAllowanceBytes = 64 << 10

// Options configure one server.
type Options struct {
	// Address is ip:port; port 0 selects a free port.
	Address string
	Handler http.Handler
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int
	// TLS is nil for plain HTTP.
	TLS *tls.Config
}

// Server is a running HTTP server.
type Server struct {
	engine   *nbhttp.Engine
	acceptor *handover.Acceptor
	address  net.Addr
	tls      *tls.Config
	// opened counts connections; see synchronizeHandover.
	opened atomic.Uint64
}

// Start listens on the configured address and serves requests until Stop is called.
func Start(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", o.Address)
	}
	s := &Server{tls: o.TLS, address: l.Addr()}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Handler:         o.Handler,
		MaxHTTPBodySize: o.MaxBodyBytes,
		ReadLimit:       o.MaxBodyBytes + headerAllowanceBytes,
		OnRequest:       LetClientClose,
		// Avoids allocating the queue of nbhttp's client side.
		SupportServerOnly: true,
	})
	s.synchronizeHandover()
	if err := s.engine.Start(); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "start the server")
	}
	if s.acceptor, err = handover.Start(s.engine.Engine, l, s.addConn); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "start the server")
	}
	return s, nil
}

// addConn adds an accepted connection to the engine.
func (s *Server) addConn(c *nbio.Conn) {
	conn := &nbhttp.Conn{Conn: c}
	if s.tls == nil {
		s.engine.AddConnNonTLSNonBlocking(conn, nil, func() {})
		return
	}
	s.engine.AddConnTLSNonBlocking(conn, s.tls, func() {})
}

// LetClientClose is an nbhttp OnRequest hook that leaves closing to the client when
// an HTTP/1.1 request asks for "Connection: close". If a handler closed the
// connection, the poller could apply an already fetched event to a new connection
// that reuses the descriptor.
func LetClientClose(w http.ResponseWriter, r *http.Request) {
	if r.Close && r.ProtoAtLeast(1, 1) {
		r.Close = false
		w.Header().Set("Connection", "close")
	}
}

// synchronizeHandover makes writes made while a connection was accepted visible to
// the goroutine that reads from it. nbio passes connections between the two through
// epoll only, which establishes no happens-before relation in the Go memory model;
// the atomic counter does.
func (s *Server) synchronizeHandover() {
	s.engine.Engine.OnOpen(func(*nbio.Conn) { s.opened.Add(1) })
	s.engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		_ = s.opened.Load()
		c.DataHandler()(c, data)
	})
}

// Address returns the ip:port that the server listens on.
func (s *Server) Address() string { return s.address.String() }

// Stop closes the listener and all connections. Responses to requests still in
// progress are lost, so drain them first. If the context ends first, the engine stops
// in the background.
func (s *Server) Stop(ctx context.Context) error {
	s.acceptor.Stop()
	stopped := make(chan struct{})
	go func() {
		s.acceptor.StopEngine(s.engine.Stop)
		close(stopped)
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
