package proxy

import (
	"io"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// loadBody finds the body's pieces in memory and reserves their bytes. The
// HTTP server hands a request over once its body is whole, so nothing is read
// from the caller here in production.
func (q *request) loadBody(r *http.Request) *refusal {
	limit := requestLimit(q.service.service)
	if r.ContentLength > limit {
		return refuse(result.RequestTooLarge)
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

// piecesOf returns the body without consuming it, so that an idempotent
// request can be sent again.
func piecesOf(body io.ReadCloser, limit int64) ([][]byte, error) {
	if body == nil || body == http.NoBody {
		return nil, nil
	}
	if buffered, ok := body.(*nbhttp.BodyReader); ok {
		return buffered.RawBodyBuffers(), nil
	}
	whole, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil || len(whole) == 0 {
		return nil, err
	}
	return [][]byte{whole}, nil
}
