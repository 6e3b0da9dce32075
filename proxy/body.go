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

// loadBody finds the body in memory and reserves its bytes. In production
// nothing is read from the caller here: the server buffers bodies and hands
// over a request with an incomplete body only if the rest is expected soon.
func (q *request) loadBody(r *http.Request) *refusal {
	limit := requestLimit(q.service.service)
	if r.ContentLength > limit {
		return refuse(result.RequestTooLarge)
	}
	if partial := incompleteBody(r.Body); partial != nil {
		q.partialBody = partial
		q.out.Source = partial
		q.out.Length = r.ContentLength
		return nil
	}
	pieces, err := bodyPieces(r.Body, limit)
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

func (q *request) releaseBody() { q.account.bytes.Give(q.reserved) }

func requestLimit(service *model.Service) int64 {
	if service.MaxRequestBytes <= 0 {
		return defaultRequestBytes
	}
	return service.MaxRequestBytes
}

// incompleteBody returns the body if it has not arrived in full, or nil.
func incompleteBody(body io.ReadCloser) *ingress.Body {
	collected, ok := body.(*ingress.Body)
	if !ok {
		return nil
	}
	if _, whole := collected.WholeAt(); whole {
		return nil
	}
	return collected
}

// targetTime returns how long a target has had a complete request that was sent
// at the given time, 0 while the body is incomplete. Time during which the
// target waits for the caller's body is not counted.
func (q *request) targetTime(sent time.Time) time.Duration {
	if q.partialBody == nil {
		return time.Since(sent)
	}
	wholeAt, whole := q.partialBody.WholeAt()
	if !whole {
		return 0
	}
	if wholeAt.After(sent) {
		return time.Since(wholeAt)
	}
	return time.Since(sent)
}

// bodyPieces returns the body without consuming it, so that an idempotent
// request can be retried.
func bodyPieces(body io.ReadCloser, limit int64) ([][]byte, error) {
	if body == nil || body == http.NoBody {
		return nil, nil
	}
	if buffered, ok := body.(*nbhttp.BodyReader); ok {
		return buffered.RawBodyBuffers(), nil
	}
	if collected, ok := body.(*ingress.Body); ok {
		pieces, _ := collected.Pieces()
		return pieces, nil
	}
	whole, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil || len(whole) == 0 {
		return nil, err
	}
	return [][]byte{whole}, nil
}
