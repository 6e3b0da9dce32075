// Package httpserver starts an HTTP server on nbio's nbhttp engine. nbhttp
// hands a request to its handler once the body is whole, so the body limit here
// bounds the memory of one request.
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

// headerAllowanceBytes is what a request's head may add to its body in the
// read buffer of a connection.
const headerAllowanceBytes = 64 << 10

// Options configure one server.
type Options struct {
	// Address is ip:port; port 0 takes a free one.
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
	// opened counts connections; see orderHandover.
	opened atomic.Uint64
}

// Start listens and serves until Stop. It returns an error if the address
// cannot be bound.
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
		// Without it the library keeps a queue of 0.5 MB for clients.
		SupportServerOnly: true,
	})
	s.orderHandover()
	if err := s.engine.Start(); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "start the server")
	}
	if s.acceptor, err = handover.Start(s.engine.Engine, l, s.take); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "start the server")
	}
	return s, nil
}

// take gives a new connection to the engine.
func (s *Server) take(c *nbio.Conn) {
	conn := &nbhttp.Conn{Conn: c}
	if s.tls == nil {
		s.engine.AddConnNonTLSNonBlocking(conn, nil, func() {})
		return
	}
	s.engine.AddConnTLSNonBlocking(conn, s.tls, func() {})
}

// LetClientClose lets the caller close a connection that it asked to be closed.
// It is an nbhttp OnRequest hook.
//
// Guard against a race of the library: when the server closes a connection
// from a handler, an event that its reading goroutine has fetched already can
// be taken for one of the next connection, which got the same descriptor, and
// closes that one before its request is read. A connection whose caller closes
// it is closed by the reading goroutine itself, after all its events.
func LetClientClose(w http.ResponseWriter, r *http.Request) {
	if r.Close && r.ProtoAtLeast(1, 1) {
		r.Close = false
		w.Header().Set("Connection", "close")
	}
}

// orderHandover makes everything written while a connection was accepted
// visible to the goroutine that reads from it.
//
// Guard against a data race of the library: it hands a connection from the
// accepting goroutine to the reading one through epoll only, which the memory
// model does not count as order. The reader could see a half-written caller's
// address. The counter is raised before the connection is watched and read
// before its data is handled, which is such an order.
func (s *Server) orderHandover() {
	s.engine.Engine.OnOpen(func(*nbio.Conn) { s.opened.Add(1) })
	s.engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		_ = s.opened.Load()
		c.DataHandler()(c, data)
	})
}

// Address returns the ip:port in use.
func (s *Server) Address() string { return s.address.String() }

// Stop closes the listener and all connections. Work in hand must have ended
// before, since its answers are lost.
func (s *Server) Stop(ctx context.Context) error {
	s.acceptor.Stop()
	return s.engine.Shutdown(ctx)
}
