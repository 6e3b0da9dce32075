package proxy

import (
	"net/http"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

// maxUnroutedBodyBytes bounds the bodies of requests for no known service,
// which are refused or are for another handler of the node.
const maxUnroutedBodyBytes = 64 << 10

var _ ingress.BodyAdmitter = (*Proxy)(nil)

// ReserveBody implements ingress.BodyAdmitter. It refuses a body above the service's
// limit or the account's free memory before it is read. The whole length is
// reserved at once, so that uploads cannot deadlock on memory.
func (p *Proxy) ReserveBody(h http.Header, length int64) (ingress.Reservation, result.Code) {
	account, service := p.current.Load().find(h)
	if service == nil {
		if length > maxUnroutedBodyBytes {
			return ingress.Reservation{}, result.RequestTooLarge
		}
		return ingress.Reservation{MaxBytes: maxUnroutedBodyBytes}, result.OK
	}
	limit := requestLimit(service.service)
	if length < 0 {
		length = limit
	}
	if length > limit {
		return ingress.Reservation{}, result.RequestTooLarge
	}
	timeout, ok := deadlineOf(h, service.service)
	if !ok {
		return ingress.Reservation{}, result.BadDeadline
	}
	if !account.bytes.Take(length) {
		return ingress.Reservation{}, result.BufferFull
	}
	release := func() { account.bytes.Give(length) }
	reservation := ingress.Reservation{Timeout: timeout, MaxBytes: limit, Release: release}
	// Requests with a key are buffered in full, since repeats are compared by
	// the body.
	if length > p.options.StreamOverBytes && h.Get(result.HeaderKey) == "" {
		reservation.LeadTime = min(service.state.sendTime.estimate(length), p.options.StreamAhead)
	}
	return reservation, result.OK
}

// find returns the account and service that the headers name, or nil.
func (s *snapshot) find(h http.Header) (*accountView, *serviceView) {
	account := s.accounts[model.AccountName(h.Get(result.HeaderAccount))]
	if account == nil {
		return nil, nil
	}
	return account, account.services[model.ServiceName(h.Get(result.HeaderService))]
}
