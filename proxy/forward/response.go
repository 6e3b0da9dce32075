package forward

import (
	"net/http"
	"strconv"
	"time"
)

// Response is a target's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// ReservedBytes is what the body took of Request.Memory, to be given back.
	ReservedBytes int64
	// SendDuration is the time that writing the request took, the time in which its
	// body had still to come excepted; 0 for a short or unfinished one.
	SendDuration time.Duration
	// NoBody tells that an answer of this kind has none (HEAD, 204, 304).
	NoBody bool
	// Shed tells that the target refused the request before running it.
	Shed bool
	// Draining tells that the target takes no new work.
	Draining bool
}

// ContentLengthHeader returns the Content-Length to pass on, nil for none; it is only
// to be read. It is the length of the body, whatever the target wrote. An
// answer to HEAD tells the length that GET would have.
func (a *Response) ContentLengthHeader() []string {
	told := a.Header["Content-Length"]
	if a.NoBody {
		return parsedLength(told)
	}
	var digits [20]byte
	length := strconv.AppendInt(digits[:0], int64(len(a.Body)), 10)
	if len(told) == 1 && told[0] == string(length) {
		return told
	}
	return []string{string(length)}
}

func parsedLength(told []string) []string {
	if len(told) == 0 {
		return nil
	}
	n, err := strconv.ParseInt(told[0], 10, 64)
	if err != nil || n < 0 {
		return nil
	}
	return []string{strconv.FormatInt(n, 10)}
}
