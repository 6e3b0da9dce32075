package proxy

import (
	"net/http"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

// otherBodyBytes bounds bodies of requests for no known service: such a
// request is refused, or is for another handler of the node.
const otherBodyBytes = 64 << 10

var _ ingress.BodyAdmitter = (*Proxy)(nil)

// ReserveBody implements ingress.BodyAdmitter: it refuses a body over the service's
// limit, or over what the account may hold in memory, before its bytes come.
// The whole length is reserved at once, so that uploads never hold memory
// while they wait for each other.
func (p *Proxy) ReserveBody(h http.Header, length int64) (ingress.Reservation, result.Code) {
	account, service := p.current.Load().find(h)
	if service == nil {
		if length > otherBodyBytes {
			return ingress.Reservation{}, result.RequestTooLarge
		}
		return ingress.Reservation{MaxBytes: otherBodyBytes}, result.OK
	}
	limit := requestLimit(service.service)
	if length < 0 {
		length = limit
	}
	if length > limit {
		return ingress.Reservation{}, result.RequestTooLarge
	}
	time, ok := deadlineOf(h, service.service)
	if !ok {
		return ingress.Reservation{}, result.BadDeadline
	}
	if !account.bytes.Take(length) {
		return ingress.Reservation{}, result.BufferFull
	}
	release := func() { account.bytes.Give(length) }
	reservation := ingress.Reservation{Timeout: time, MaxBytes: limit, Release: release}
	// A repeat is told from other work under its key by the whole body.
	if length > p.options.StreamOverBytes && h.Get(result.HeaderKey) == "" {
		reservation.LeadTime = min(service.state.sending.of(length), p.options.StreamAhead)
	}
	return reservation, result.OK
}

// find returns what the fields name, or nil.
func (s *snapshot) find(h http.Header) (*accountView, *serviceView) {
	account := s.accounts[model.AccountName(h.Get(result.HeaderAccount))]
	if account == nil {
		return nil, nil
	}
	return account, account.services[model.ServiceName(h.Get(result.HeaderService))]
}
