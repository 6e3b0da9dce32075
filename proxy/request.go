package proxy

import (
	"net/http"
	"net/netip"
	"path"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// Limits and defaults of caller requests.
const (
	defaultDeadline     = 30 * time.Second
	maxDeadline         = time.Hour
	maxMethodBytes      = 32
	defaultRequestBytes = 1 << 20
	defaultAnswerBytes  = 16 << 20
)

// request is a caller's request after it was parsed and validated.
type request struct {
	account *accountView
	service *serviceView
	class   model.Class
	region  model.RegionName
	flow    *flowView
	// place is the place chosen for the request, nil if there is none.
	place    *placeState
	from     caller
	arrived  time.Time
	deadline time.Time
	key      string
	// claimed is set once the request may run: it has claimed its key or has
	// none.
	claimed bool
	// remote is the caller's address.
	remote string
	out    forward.Request
	// partialBody is the body if it was incomplete when the request arrived,
	// else nil.
	partialBody *ingress.Body
	// reserved is the part of the account's memory that the request itself
	// took.
	reserved int64
}

// parse validates a request and resolves its account, service and place. It
// does not read the body.
func (p *Proxy) parse(r *http.Request, from caller) (*request, *refusal) {
	q := &request{from: from, arrived: from.Began()}
	if !validMethod(r.Method) || r.URL == nil {
		return q, refuse(result.BadRequest)
	}
	if refused := q.findService(p.current.Load(), r.Header); refused != nil {
		return q, refused
	}
	q.class = classOf(q.service.service, r)
	q.region = p.callerRegion(q.account.account.Name, r.RemoteAddr)
	q.flow = q.service.flows[q.region]
	if q.flow != nil {
		q.flow.offered.Add(1)
	}
	if refused := q.findDeadline(r.Header); refused != nil {
		return q, refused
	}
	if refused := q.findKey(r.Header); refused != nil {
		return q, refused
	}
	if q.flow == nil {
		q.service.state.offeredBy(q.region).Add(1)
		return q, refuse(result.NoPlan)
	}
	q.choosePlace(r.Header)
	return q, nil
}

func (q *request) findService(s *snapshot, h http.Header) *refusal {
	account, ok := single(h, result.HeaderAccount)
	if !ok || account == "" {
		return refuse(result.BadRequest)
	}
	service, ok := single(h, result.HeaderService)
	if !ok || service == "" {
		return refuse(result.BadRequest)
	}
	q.account = s.accounts[model.AccountName(account)]
	if q.account == nil {
		return refuse(result.UnknownAccount)
	}
	q.service = q.account.services[model.ServiceName(service)]
	if q.service == nil {
		return refuse(result.UnknownService)
	}
	return nil
}

func (q *request) findDeadline(h http.Header) *refusal {
	left, ok := deadlineOf(h, q.service.service)
	if !ok {
		return refuse(result.BadDeadline)
	}
	q.deadline = q.arrived.Add(left)
	return nil
}

// deadlineOf returns the time that the caller allows, or the service's default.
func deadlineOf(h http.Header, service *model.Service) (time.Duration, bool) {
	text, ok := single(h, result.HeaderDeadline)
	if !ok {
		return 0, false
	}
	if text == "" && service.Deadline > 0 {
		return service.Deadline, true
	}
	if text == "" {
		return defaultDeadline, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, true
}

func (q *request) findKey(h http.Header) *refusal {
	key, ok := single(h, result.HeaderKey)
	if !ok || (key != "" && !keys.Valid(key)) {
		return refuse(result.BadRequest)
	}
	if q.class != model.Idempotent {
		q.key = key
	}
	return nil
}

// single returns a header that may occur at most once. With two values, the
// entry VM and the target might each use a different one.
func single(h http.Header, name string) (string, bool) {
	values := h[name]
	if len(values) == 0 {
		return "", true
	}
	return values[0], len(values) == 1
}

func validMethod(method string) bool {
	if method == "" || len(method) > maxMethodBytes || method == http.MethodConnect {
		return false
	}
	for i := range len(method) {
		c := method[i]
		if (c < 'A' || c > 'Z') && c != '-' {
			return false
		}
	}
	return true
}

// classOf returns the class of a request. A path that a target may normalize in
// another way ("/stock/../orders", "/%6frders") counts as non-idempotent,
// because a non-idempotent request under the path of an idempotent one would be
// retried.
func classOf(service *model.Service, r *http.Request) model.Class {
	if !plainPath(r.URL.Path) || r.URL.RawPath != "" {
		return model.NonIdempotent
	}
	return service.ClassOf(r.Method, r.URL.Path)
}

func plainPath(p string) bool {
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// callerRegion returns the region of the caller's address.
func (p *Proxy) callerRegion(account model.AccountName, remote string) model.RegionName {
	if p.options.CallerRegion == nil {
		return p.options.Region
	}
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return p.options.Region
	}
	region, ok := p.options.CallerRegion(account, address.Addr())
	if !ok {
		return p.options.Region
	}
	return region
}
