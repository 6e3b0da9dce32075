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

	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/httpserver/handover"
)

// stopPoll is how often a stop looks whether all answers are given.
const stopPoll = 5 * time.Millisecond

// Server serves callers until Stop.
type Server struct {
	options  Options
	engine   *nbhttp.Engine
	acceptor *handover.Acceptor
	address  net.Addr
	open     atomic.Int64
	// busy counts requests handed over whose answers are not wholly given.
	busy atomic.Int64
	// cleaning counts closed connections whose parsers are not cleaned yet: the
	// engine's own stop does not wait for that.
	cleaning atomic.Int64
	// handovers orders the making of a connection before its use on the
	// engine's goroutines. The engine itself hands it over through the kernel
	// only, which Go's memory model does not know.
	handovers atomic.Int64
	stop      sync.Once
}

// Start listens and serves. It returns an error if the address cannot be
// bound.
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
		ReadLimit:       o.MaxBodyBytes + o.MaxHeadBytes,
		KeepaliveTime:   o.IdleTime,
		OnRequest:       httpserver.LetClientClose,
		// Without it the library keeps a queue of 0.5 MB for clients.
		SupportServerOnly: true,
		// Every connection can have its request in hand at once. With fewer,
		// the waiting requests of one account would hold up all others before
		// anything here has seen them.
		MessageHandlerPoolSize: o.MaxConnections + 1,
	})
	s.engine.Engine.OnClose(s.closed)
	s.engine.OnWrittenSize(s.written)
	if err := s.engine.Start(); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "ingress: start")
	}
	if s.acceptor, err = handover.Start(s.engine.Engine, l, s.take); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "ingress: start")
	}
	return s, nil
}

// Address returns the ip:port in use.
func (s *Server) Address() string { return s.address.String() }

// Busy returns the requests in hand whose answers are not wholly given.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// Stop takes no new connections, waits until every answer in hand is given or
// the context ends, and closes all connections. Without an error the memory of
// all bodies is free when it returns.
func (s *Server) Stop(ctx context.Context) error {
	s.acceptor.Stop()
	err := waitZero(ctx, &s.busy)
	s.stop.Do(s.engine.Stop)
	if err != nil {
		return err
	}
	return waitZero(ctx, &s.cleaning)
}

// waitZero returns when a count is zero, or with the context's error.
func waitZero(ctx context.Context, count *atomic.Int64) error {
	tick := time.NewTicker(stopPoll)
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

// take hands a new connection to the engine.
func (s *Server) take(nbc *nbio.Conn) {
	if s.open.Add(1) > int64(s.options.MaxConnections) {
		s.open.Add(-1)
		_ = nbc.Close()
		return
	}
	conn := newConnection(s, nbc)
	nbc.SetSession(conn)
	nbc.OnData(s.data)
	s.handovers.Add(1)
	if _, err := s.engine.AddConn(nbc); err != nil {
		return
	}
	_ = nbc.SetReadDeadline(time.Now().Add(s.options.IdleTime))
}

// closed is called by the engine for every connection that has ended. The
// handler under way learns it at once; the parser is cleaned after it, in the
// order of the connection's work.
func (s *Server) closed(c *nbio.Conn, err error) {
	conn := s.connectionOf(c)
	if conn == nil {
		return
	}
	s.open.Add(-1)
	conn.gone()
	s.cleaning.Add(1)
	c.MustExecute(func() {
		defer s.cleaning.Add(-1)
		conn.clean(err)
	})
}

// data is called by the engine for the bytes that came.
func (s *Server) data(c *nbio.Conn, data []byte) {
	if conn := s.connectionOf(c); conn != nil {
		conn.onData(data)
	}
}

// written is called by the engine for the bytes that the system has taken.
func (s *Server) written(c *nbio.Conn, _ []byte, n int) {
	if conn := s.connectionOf(c); conn != nil {
		conn.wrote(n)
	}
}

func (s *Server) connectionOf(c *nbio.Conn) *connection {
	s.handovers.Load()
	conn, _ := c.Session().(*connection)
	return conn
}

// serve calls the handler with what the connection adds.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	response := w.(*nbhttp.Response)
	conn := response.Parser.Processor.(*processor).conn
	taken := conn.nextTaken()
	defer taken.release()
	if taken.body != nil {
		r.Body = taken.body
	}
	s.busy.Add(1)
	defer s.busy.Add(-1)
	writer := &Writer{Response: response, conn: conn, began: taken.began, body: taken.body}
	s.options.Handler.ServeHTTP(writer, r)
	writer.endBody()
}
