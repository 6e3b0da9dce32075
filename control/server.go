package control

import (
	"context"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// server implements the Control service.
type server struct {
	peerpb.UnimplementedControlServer
	system *System
}

// Renew implements the Control service.
func (s *server) Renew(ctx context.Context, request *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	a := s.system.account(model.AccountName(request.Account))
	if a == nil {
		return &peerpb.RenewResponse{Code: uint32(result.UnknownAccount)}, nil
	}
	return s.system.renewFunc(a)(ctx, request), nil
}

// Lend implements the Control service.
func (s *server) Lend(_ context.Context, request *peerpb.LendRequest) (*peerpb.LendResponse, error) {
	a := s.system.account(model.AccountName(request.Account))
	if a == nil {
		return &peerpb.LendResponse{Code: uint32(result.UnknownAccount)}, nil
	}
	return a.holder.Lend(request), nil
}

// Hasten implements the Control service.
func (s *server) Hasten(_ context.Context, request *peerpb.HastenRequest) (*peerpb.HastenResponse, error) {
	a := s.system.account(model.AccountName(request.Account))
	if a == nil {
		return &peerpb.HastenResponse{Code: uint32(result.UnknownAccount)}, nil
	}
	a.holder.Hasten(request.Epoch)
	select {
	case s.system.reportRequests <- a:
	default:
		// The next round sends the report.
	}
	return &peerpb.HastenResponse{}, nil
}
