// Package platform stands in for the platform in tests: its key-value service
// and its lagging list of VMs, with faults set through a control API. It keeps
// everything in memory.
package platform

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/membership/wire"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// maxBodyBytes takes the largest value in base64, with room for its key.
const maxBodyBytes = 2 * store.MaxValueBytes

// stopTimeout bounds how long Stop waits for connections to close.
const stopTimeout = 5 * time.Second

// Server is one platform. Its data outlives Stop, so that it can be started
// again as a service that came back.
type Server struct {
	options Options
	kv      *memkv.Store
	faults  *faultkv.Store
	backup  atomic.Pointer[memkv.Snapshot]
	list    *vmList
	rates   *rates
	waiting gauge

	server *httpserver.Server
	cancel context.CancelFunc
}

// New returns a platform that does not listen yet.
func New(options Options) *Server {
	kv := memkv.New(options.Store)
	return &Server{
		options: options,
		kv:      kv,
		faults:  faultkv.New(kv, nil),
		list:    newVMList(options.ListLag),
		rates:   newRates(options),
	}
}

// Start listens. After the first Start the address stays the same.
func (s *Server) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	server, err := httpserver.Start(httpserver.Options{
		Address:      s.options.Address,
		Handler:      s.routes(ctx),
		MaxBodyBytes: maxBodyBytes,
	})
	if err != nil {
		cancel()
		return errors.WithMessage(err, "platform")
	}
	s.server = server
	s.cancel = cancel
	s.options.Address = server.Address()
	return nil
}

// Stop ends waiting watches and closes all connections.
func (s *Server) Stop() error {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return s.server.Stop(ctx)
}

// Addr returns the ip:port in use.
func (s *Server) Addr() string {
	return s.options.Address
}

// KV returns the service behind the HTTP calls, faults included, for tests in
// the same process. Its calls count too.
func (s *Server) KV() *faultkv.Store {
	return s.faults
}

func (s *Server) routes(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/-/", s.serveKV(ctx))
	s.routeControl(mux)
	mux.HandleFunc("GET "+wire.DefaultPath, s.serveList)
	return mux
}
