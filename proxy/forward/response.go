package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/notrun"
)

// Response is a complete response from a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// ReservedBytes is the part of Request.Memory that holds the body; the
	// caller returns it.
	ReservedBytes int64
	// SendDuration is the time spent writing the request, without waiting for
	// body bytes. It is zero for a small body or an incomplete write.
	SendDuration time.Duration
	// NoBody is set for responses without a body (HEAD, 204, 304).
	NoBody bool
	// Named is set if the response names the request.
	Named bool
	// Shed is set if the target rejected the request before running it.
	Shed bool
	// endedWithConn is set if the end of the connection ended the body.
	endedWithConn bool
}

// Evidence returns what shows that the request did not run. Its sender states that in the field.
func (r *Response) Evidence(field string) notrun.Evidence {
	return notrun.Answered(notrun.Answer{Named: r.Named, Status: r.Status, States: r.Header.Get(field) != ""})
}

// ContentLengthHeader returns the Content-Length values to forward, nil for
// none; the caller must not modify them. The length is that of the body read,
// except for a response without a body, whose header is forwarded.
func (r *Response) ContentLengthHeader() []string {
	values := r.Header["Content-Length"]
	if r.NoBody {
		return parseContentLength(values)
	}
	var digits [20]byte
	length := strconv.AppendInt(digits[:0], int64(len(r.Body)), 10)
	if len(values) == 1 && values[0] == string(length) {
		return values
	}
	return []string{string(length)}
}

func parseContentLength(values []string) []string {
	if len(values) == 0 {
		return nil
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || n < 0 {
		return nil
	}
	return []string{strconv.FormatInt(n, 10)}
}
