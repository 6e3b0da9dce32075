package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/notrun"
)

const (
	// maxInformational bounds 1xx responses before the final one.
	maxInformational = 8
	// UnreservedResponseBytes of a response body need no reservation, so that
	// short confirmations can be read while uploads fill the memory.
	UnreservedResponseBytes = 16 << 10
	// reserveStepBytes is the reservation step for a body of unknown length.
	reserveStepBytes = 64 << 10
)

var (
	errNotReusable          = errors.New("the connection's last exchange did not end cleanly")
	errPeerLost             = errors.New("the target does not acknowledge and cannot be connected to")
	errRepeatedID           = errors.New("the connection has carried a request with this ID")
	errNotAlone             = errors.New("the connection has carried a request, and answers to this one need not name it")
	errNoID                 = errors.New("the request has no ID")
	errExchangeMismatch     = errors.New("the response belongs to another exchange")
	errTooManyInformational = errors.New("too many informational responses")
	errProtocolSwitch       = errors.New("the target switched protocols")
	errUnknownLength        = errors.New("the response has neither a length nor chunked encoding")
	errNoEnd                = errors.New("the connection ended, but not in order, during a response without a length")
	errNoMemory             = errors.New("no memory left for the response")
)

// receive reads the response. The request may have run by now, so every failure
// has an unknown outcome.
func (c *Conn) receive(ctx context.Context, r *Request, exchangeID uint64) (*Response, error) {
	resp, err := c.readMatchingHeader(r, exchangeID)
	if err != nil {
		return nil, newError(headerReadCode(ctx, err), err)
	}
	// The body is not closed, since Close would drain it. An unfinished body
	// leaves the connection not reusable instead.
	if err := validateHeader(resp, r); err != nil {
		return nil, newError(result.AnswerTruncated, err)
	}
	if r.HeaderReceived != nil {
		r.HeaderReceived(resp.StatusCode, resp.Header)
	}
	body, reserved, err := readBody(resp, r)
	if err != nil {
		return nil, newError(bodyReadCode(ctx, err), err)
	}
	c.reusable = !resp.Close && c.reader.Buffered() == 0
	answer := &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		Body:          body,
		ReservedBytes: reserved,
		NoBody:        !hasBody(resp, r),
		endedWithConn: endsWithConn(resp) && hasBody(resp, r),
		Named:         c.trace.Match == OwnID,
	}
	answer.Shed = answer.Status == http.StatusServiceUnavailable && answer.Evidence(result.HeaderShed) == notrun.Stated
	return answer, nil
}

// maxResponseHeaders bounds the responses read to find the matching one: late duplicates of
// several earlier ones may precede it.
const maxResponseHeaders = 9

// readMatchingHeader reads the header of the response to this request. A response that names another request, or
// none, belongs to nobody here: a late duplicate, or bytes of a faulty target. It is discarded, or ends the exchange if
// its sender answers each request once.
func (c *Conn) readMatchingHeader(r *Request, exchangeID uint64) (*http.Response, error) {
	for range maxResponseHeaders {
		resp, err := c.readFinalHeader(r)
		if err != nil {
			return nil, err
		}
		c.limited.remaining += r.MaxResponseBytes + maxFramingBytes
		if c.match(resp, r, exchangeID) == OwnID || r.acceptsUnnamed() && c.trace.Match == NoID {
			return resp, nil
		}
		c.discarded(resp)
		if r.answersOnce() || endsWithConn(resp) {
			return nil, errExchangeMismatch
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		c.limited.remaining = maxHeaderBytes
	}
	return nil, errExchangeMismatch
}

func (c *Conn) readFinalHeader(r *Request) (*http.Response, error) {
	c.pendingRequest.Method = r.Method
	for range maxInformational {
		resp, err := c.readHead()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errTooManyInformational
}

// validateHeader rejects a response of unknown length.
func validateHeader(resp *http.Response, r *Request) error {
	// Without a length, only the end of the connection tells whether a body is whole, see verifyEnd.
	closeDelimited := r.Dialect != nil && r.Dialect.CloseDelimited
	if endsWithConn(resp) && hasBody(resp, r) && !closeDelimited {
		return errUnknownLength
	}
	return nil
}

// endsWithConn reports whether a body has neither a length nor chunks, so that the end of the connection ends it.
func endsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func hasBody(resp *http.Response, r *Request) bool {
	if r.Method == http.MethodHead {
		return false
	}
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// readBody returns the body and the number of bytes reserved for it.
func readBody(resp *http.Response, r *Request) ([]byte, int64, error) {
	if !hasBody(resp, r) {
		return nil, 0, nil
	}
	if resp.ContentLength > r.MaxResponseBytes {
		return nil, 0, errResponseTooLarge
	}
	if resp.ContentLength >= 0 {
		return readFixedLength(resp, r)
	}
	return readChunked(resp, r)
}

func readFixedLength(resp *http.Response, r *Request) ([]byte, int64, error) {
	reserved := bytesToReserve(resp.ContentLength)
	if !reserve(r, reserved) {
		return nil, 0, errNoMemory
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		release(r, reserved)
		return nil, 0, err
	}
	return body, reserved, nil
}

// readChunked reads a body of unknown length. It reserves the buffer, which may be twice as large as the body so far.
func readChunked(resp *http.Response, r *Request) ([]byte, int64, error) {
	var body bytes.Buffer
	reserved := int64(0)
	for step := int64(UnreservedResponseBytes); ; step = reserveStepBytes {
		_, err := io.CopyN(&body, resp.Body, step)
		if int64(body.Len()) > r.MaxResponseBytes {
			err = errResponseTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body.Bytes(), reserved, nil
		}
		more := max(reserveStepBytes, int64(body.Cap())-reserved)
		if err == nil && !reserve(r, more) {
			err = errNoMemory
		}
		if err != nil {
			release(r, reserved)
			return nil, 0, err
		}
		reserved += more
	}
}

// bytesToReserve returns the reservation for a body of the given length.
func bytesToReserve(length int64) int64 { return max(0, length-UnreservedResponseBytes) }

func reserve(r *Request, n int64) bool { return n == 0 || r.Memory == nil || r.Memory.Take(n) }

func release(r *Request, n int64) {
	if n > 0 && r.Memory != nil {
		r.Memory.Give(n)
	}
}

func isTimeout(err error) bool {
	var nerr net.Error
	return errors.As(err, &nerr) && nerr.Timeout()
}
