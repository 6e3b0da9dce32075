package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store/wire"
)

// handler does one call: it decodes the body, asks the service and returns
// the answer.
type handler func(ctx context.Context, body []byte) (answer any, err error)

func (s *Server) routeKV(ctx context.Context, mux *http.ServeMux) {
	reads := map[string]handler{
		wire.PathGet:   s.get,
		wire.PathList:  s.listKeys,
		wire.PathWatch: s.watch,
	}
	writes := map[string]handler{
		wire.PathSwap:      s.swap,
		wire.PathDelete:    s.delete,
		wire.PathGrant:     s.grant,
		wire.PathKeepAlive: s.keepAlive,
		wire.PathRevoke:    s.revoke,
	}
	for path, h := range reads {
		mux.HandleFunc("POST "+s.options.PathPrefix+path, s.serveKV(ctx, false, h))
	}
	for path, h := range writes {
		mux.HandleFunc("POST "+s.options.PathPrefix+path, s.serveKV(ctx, true, h))
	}
}

func (s *Server) serveKV(ctx context.Context, writes bool, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.rates.allow(writes) {
			writeFailure(w, wire.Failure{Code: wire.CodeRateLimited})
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			writeFailure(w, wire.Failure{Code: wire.CodeBadRequest})
			return
		}
		answer, err := h(ctx, body)
		if err == nil {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		if failure, ok := wire.FromError(err); ok {
			writeFailure(w, failure)
			return
		}
		closeWithoutAnswer(w)
	}
}

// closeWithoutAnswer is how a lost answer looks to a client.
func closeWithoutAnswer(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		logrus.WithError(err).Error("platform: connection not closed")
		return
	}
	_ = conn.Close()
}

func writeFailure(w http.ResponseWriter, failure wire.Failure) {
	writeJSON(w, failure.Status(), failure)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	text, err := json.Marshal(answer)
	if err != nil {
		logrus.WithError(err).Error("platform: answer not encoded")
		closeWithoutAnswer(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Server) get(ctx context.Context, body []byte) (any, error) {
	request, err := decode[wire.GetRequest](body)
	if err != nil {
		return nil, err
	}
	entry, err := s.faults.Get(ctx, request.Key)
	return wire.FromEntry(entry), err
}

func (s *Server) listKeys(ctx context.Context, body []byte) (any, error) {
	request, err := decode[wire.ListRequest](body)
	if err != nil {
		return nil, err
	}
	listing, err := s.faults.List(ctx, request.Prefix)
	return wire.FromListing(listing), err
}

func (s *Server) watch(ctx context.Context, body []byte) (any, error) {
	request, err := decode[wire.WatchRequest](body)
	if err != nil {
		return nil, err
	}
	s.waiting.enter()
	defer s.waiting.leave()
	batch, err := s.faults.Watch(ctx, request.Prefix, request.After)
	return wire.FromBatch(batch), err
}

func (s *Server) swap(ctx context.Context, body []byte) (any, error) {
	request, err := decode[wire.SwapRequest](body)
	if err != nil {
		return nil, err
	}
	revision, err := s.faults.Swap(ctx, request.Key, request.Value, request.Expected, request.Lease)
	return wire.SwapAnswer{Revision: revision}, err
}

func (s *Server) delete(ctx context.Context, body []byte) (any, error) {
	request, err := decode[wire.DeleteRequest](body)
	if err != nil {
		return nil, err
	}
	return wire.Done{Done: true}, s.faults.Delete(ctx, request.Key, request.Expected)
}

func (s *Server) grant(ctx context.Context, body []byte) (any, error) {
	request, err := decode[wire.GrantRequest](body)
	if err != nil {
		return nil, err
	}
	id, err := s.faults.Grant(ctx, time.Duration(request.TTLMillis)*time.Millisecond)
	return wire.GrantAnswer{Lease: id}, err
}

func (s *Server) keepAlive(ctx context.Context, body []byte) (any, error) {
	request, err := decode[wire.LeaseRequest](body)
	if err != nil {
		return nil, err
	}
	return wire.Done{Done: true}, s.faults.KeepAlive(ctx, request.Lease)
}

func (s *Server) revoke(ctx context.Context, body []byte) (any, error) {
	request, err := decode[wire.LeaseRequest](body)
	if err != nil {
		return nil, err
	}
	return wire.Done{Done: true}, s.faults.Revoke(ctx, request.Lease)
}
