package kept

import (
	"bytes"
	"net/http"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// Response is the complete response of a target and its origin. It is read-only.
type Response struct {
	forward.Response
	// Place and Target are the values of the response headers that name them.
	Place, Target []string
}

// Estimated memory overhead in bytes, without the texts.
const (
	entryOverhead       = 1024
	headerFieldOverhead = 64
)

// clone copies the response with its header and body, without the request's
// reserved bytes.
func clone(r *Response) *Response {
	return &Response{
		Response: forward.Response{
			Status: r.Status,
			Header: r.Header.Clone(),
			Body:   bytes.Clone(r.Body),
			NoBody: r.NoBody,
		},
		Place:  r.Place,
		Target: r.Target,
	}
}

func sizeOf(r *Response) int64 {
	return int64(len(r.Body)) + headerBytes(r.Header)
}

func headerBytes(h http.Header) int64 {
	size := int64(0)
	for name, values := range h {
		size += int64(len(name))
		for _, value := range values {
			size += int64(len(value)) + headerFieldOverhead
		}
	}
	return size
}
