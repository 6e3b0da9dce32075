package forward

import (
	"net/http"
	"strconv"
)

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Reserved is what the body took of Request.Memory, to be given back.
	Reserved int64
	// NoBody tells that an answer of this kind has none (HEAD, 204, 304).
	NoBody bool
	// Shed tells that the target refused the request before running it.
	Shed bool
	// Leaving tells that the target takes no new work.
	Leaving bool
}

// Length returns the Content-Length to pass on, or -1 for none. An answer to
// HEAD tells the length that GET would have.
func (a *Answer) Length() int64 {
	if !a.NoBody {
		return int64(len(a.Body))
	}
	n, err := strconv.ParseInt(a.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
