package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

// loadBody finds the body's pieces in memory and reserves their bytes. Nothing
// is read from the caller here in production: the server collects bodies, and
// hands a request over before its body is whole only if the rest is about to
// come.
func (q *request) loadBody(r *http.Request) *refusal {
	limit := requestLimit(q.service.service)
	if r.ContentLength > limit {
		return refuse(result.RequestTooLarge)
	}
	if coming := comingBody(r.Body); coming != nil {
		q.coming = coming
		q.out.BodySource = coming
		q.out.Length = r.ContentLength
		return nil
	}
	pieces, err := piecesOf(r.Body, limit)
	if err != nil {
		return refuse(result.BadRequest)
	}
	length := int64(0)
	for _, piece := range pieces {
		length += int64(len(piece))
	}
	if length > limit {
		return refuse(result.RequestTooLarge)
	}
	if !q.from.BodyReserved() {
		if !q.account.bytes.Take(length) {
			return refuse(result.BufferFull)
		}
		q.reserved = length
	}
	q.out.Body = pieces
	q.out.Length = length
	return nil
}

func (q *request) dropBody() { q.account.bytes.Give(q.reserved) }

func requestLimit(service *model.Service) int64 {
	if service.MaxRequestBytes <= 0 {
		return defaultRequestBytes
	}
	return service.MaxRequestBytes
}

// comingBody returns a body that is not whole yet, or nil.
func comingBody(body io.ReadCloser) *ingress.Body {
	collected, ok := body.(*ingress.Body)
	if !ok {
		return nil
	}
	if _, whole := collected.CompletedAt(); whole {
		return nil
	}
	return collected
}

// servedFor returns how long a target has had a request that was sent at a time.
// While the body still comes the target waits for the caller, which says
// nothing of the target; 0 until it is whole.
func (q *request) servedFor(sent time.Time) time.Duration {
	if q.coming == nil {
		return time.Since(sent)
	}
	wholeAt, whole := q.coming.CompletedAt()
	if !whole {
		return 0
	}
	if wholeAt.After(sent) {
		return time.Since(wholeAt)
	}
	return time.Since(sent)
}

// piecesOf returns the body without consuming it, so that an idempotent
// request can be sent again.
func piecesOf(body io.ReadCloser, limit int64) ([][]byte, error) {
	if body == nil || body == http.NoBody {
		return nil, nil
	}
	if buffered, ok := body.(*nbhttp.BodyReader); ok {
		return buffered.RawBodyBuffers(), nil
	}
	if collected, ok := body.(*ingress.Body); ok {
		pieces, _ := collected.Buffers()
		return pieces, nil
	}
	whole, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil || len(whole) == 0 {
		return nil, err
	}
	return [][]byte{whole}, nil
}
