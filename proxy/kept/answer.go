package kept

import (
	"bytes"
	"net/http"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// Answer is a target's whole answer and who gave it. It is only to be read.
type Answer struct {
	forward.Response
	// Place and Target are the fields that name them to the caller.
	Place, Target []string
}

// Sizes of what an entry takes beside the texts in it, bytes.
const (
	entryBytes = 1024
	fieldBytes = 64
)

// copied returns an answer that shares no memory with what it was made from and
// holds none of the request's reserved bytes.
func copied(a *Answer) *Answer {
	return &Answer{
		Response: forward.Response{
			Status: a.Status,
			Header: a.Header.Clone(),
			Body:   bytes.Clone(a.Body),
			NoBody: a.NoBody,
		},
		Place:  a.Place,
		Target: a.Target,
	}
}

func sizeOf(a *Answer) int64 {
	return int64(len(a.Body)) + headerBytes(a.Header)
}

func headerBytes(h http.Header) int64 {
	size := int64(0)
	for name, values := range h {
		size += int64(len(name))
		for _, value := range values {
			size += int64(len(value)) + fieldBytes
		}
	}
	return size
}
