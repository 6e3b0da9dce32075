package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/httpserver/handover"
)

// stopPollInterval is how often Stop checks for active requests.
const stopPollInterval = 5 * time.Millisecond

// never is a time-out that does not expire.
const never = 1000 * time.Hour

// Server is an HTTP server for client connections.
type Server struct {
	options         Options
	engine          *nbhttp.Engine
	acceptor        *handover.Acceptor
	address         net.Addr
	openConnections atomic.Int64
	// connections has the open connections as keys.
	connections sync.Map
	// activeRequests counts dispatched requests without a complete response.
	activeRequests atomic.Int64
	// closingConnections counts closed connections whose parsers still hold
	// memory; the engine's stop does not wait for them.
	closingConnections atomic.Int64
	// connectionFence orders the setup of a connection before its use on the
	// engine's goroutines. The engine passes connections through the kernel,
	// which the Go memory model does not cover.
	connectionFence atomic.Int64
}

// Start listens on Options.Address and serves until Stop.
func Start(o Options) (*Server, error) {
	o.setDefaults()
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "ingress: listen on %s", o.Address)
	}
	s := &Server{options: o, address: l.Addr()}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:            "callers",
		Handler:         http.HandlerFunc(s.serve),
		MaxHTTPBodySize: o.MaxBodyBytes,
		ReadLimit:       o.MaxBodyBytes + o.MaxHeaderBytes,
		// The engine would close idle connections whose responses are not delivered.
		KeepaliveTime: never,
		OnRequest:     letClientClose,
		// Avoids a client queue that is not used here.
		SupportServerOnly: true,
		// One worker per connection, so that waiting requests of one account
		// cannot block those of others.
		MessageHandlerPoolSize: o.MaxConnections + 1,
	})
	s.engine.Engine.OnClose(s.onClose)
	s.engine.OnWrittenSize(s.onWritten)
	if err := s.engine.Start(); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "ingress: start")
	}
	if s.acceptor, err = handover.Start(s.engine.Engine, l, s.accept); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "ingress: start")
	}
	return s, nil
}

// Address returns the listening ip:port.
func (s *Server) Address() string { return s.address.String() }

// ActiveRequests returns the number of requests without a complete response.
func (s *Server) ActiveRequests() int { return int(s.activeRequests.Load()) }

// Stop stops accepting, waits until all responses are written or the context
// is done, and closes all connections; see Undelivered. If it returns nil, the
// memory of all bodies is released.
func (s *Server) Stop(ctx context.Context) error {
	s.acceptor.Stop()
	err := waitZero(ctx, &s.activeRequests)
	s.acceptor.StopEngine(s.engine.Stop)
	if err != nil {
		return err
	}
	return waitZero(ctx, &s.closingConnections)
}

// waitZero blocks until the count is zero or the context is done.
func waitZero(ctx context.Context, count *atomic.Int64) error {
	tick := time.NewTicker(stopPollInterval)
	defer tick.Stop()
	for count.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// accept registers a new connection with the engine.
func (s *Server) accept(nbc *nbio.Conn) {
	if s.openConnections.Add(1) > int64(s.options.MaxConnections) {
		s.openConnections.Add(-1)
		_ = nbc.Close()
		return
	}
	conn := newConnection(s, nbc)
	s.connections.Store(conn, nil)
	nbc.SetSession(conn)
	nbc.OnData(s.onData)
	s.connectionFence.Add(1)
	_, _ = s.engine.AddConn(nbc)
}

// onClose is the engine's callback for a closed connection. The handler is
// notified at once; the parser is closed after it, on the connection's queue.
func (s *Server) onClose(c *nbio.Conn, err error) {
	conn := s.connectionOf(c)
	if conn == nil {
		return
	}
	s.openConnections.Add(-1)
	s.connections.Delete(conn)
	conn.onClose()
	s.closingConnections.Add(1)
	c.MustExecute(func() {
		defer s.closingConnections.Add(-1)
		conn.closeParser(err)
	})
}

// onData is the engine's callback for received bytes.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	if conn := s.connectionOf(c); conn != nil {
		conn.onData(data)
	}
}

// onWritten is the engine's callback for bytes accepted by the kernel.
func (s *Server) onWritten(c *nbio.Conn, _ []byte, n int) {
	if conn := s.connectionOf(c); conn != nil {
		conn.onWritten(n)
	}
}

func (s *Server) connectionOf(c *nbio.Conn) *connection {
	s.connectionFence.Load()
	conn, _ := c.Session().(*connection)
	return conn
}

// serve runs the handler for a dispatched request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	response := w.(*nbhttp.Response)
	conn := response.Parser.Processor.(*processor).conn
	state := conn.popDispatched()
	defer state.release()
	if state.body != nil {
		r.Body = state.body
	}
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	defer conn.endRequest()
	writer := &ResponseWriter{Response: response, conn: conn, startedAt: state.startedAt, body: state.body}
	s.options.Handler.ServeHTTP(writer, r)
	writer.abortBody()
	if closesAfter(w, r) {
		conn.linger()
	}
}
