package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/yuccaroute/yuccaroute/api/result"
)

const (
	// maxInterim bounds the informational answers before the final one.
	maxInterim = 8
	// UnreservedResponseBytes of an answer need no reservation: a node whose memory is
	// full of uploads must still be able to read that an order ran.
	UnreservedResponseBytes = 16 << 10
	// stepBytes is how much memory an answer of unknown length reserves at once.
	stepBytes = 64 << 10
)

var (
	errUsed     = errors.New("the connection's last exchange did not end cleanly")
	errForeign  = errors.New("the answer belongs to another exchange")
	errInterim  = errors.New("too many informational answers")
	errSwitched = errors.New("the target switched protocols")
	errNoLength = errors.New("the answer's end is not marked")
	errMemory   = errors.New("no memory left for the answer")
)

// receive reads the answer. By now the request may have run, so whatever goes
// wrong the outcome is unknown.
func (c *Conn) receive(ctx context.Context, r *Request, exchange uint64) (*Response, error) {
	resp, err := c.readOwnHead(r)
	if err != nil {
		return nil, newError(headCode(ctx, err), err)
	}
	// The body is not closed: to close it reads the rest, until the deadline if
	// need be, of an answer that is given up. The connection is closed instead.
	if err := check(resp, r, exchange); err != nil {
		return nil, newError(result.AnswerTruncated, err)
	}
	body, reserved, err := readBody(resp, r)
	if err != nil {
		return nil, newError(bodyCode(ctx, err), err)
	}
	c.clean = !resp.Close && c.reader.Buffered() == 0
	return &Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Body:     body,
		ReservedBytes: reserved,
		NoBody:   !hasBody(resp, r),
		Shed:     resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(result.HeaderShed) != "",
		Draining:  resp.Header.Get(result.HeaderLeaving) != "",
	}, nil
}

// maxStray bounds the answers to other requests that are skipped before the own one.
const maxStray = 2

// readOwnHead reads the head of the answer to this request.
//
// Guard against a target that answers an earlier request a second time, late: the
// second answer comes where this one's is expected, and would go to the wrong
// caller. It is told by the id that targets repeat, and is read to its end.
func (c *Conn) readOwnHead(r *Request) (*http.Response, error) {
	for range maxStray {
		resp, err := c.readHead(r)
		if err != nil || !r.Dialect.isStray(resp) {
			return resp, err
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

func (d *Dialect) isStray(resp *http.Response) bool {
	if d == nil {
		return false
	}
	got := resp.Header.Get(d.IDField)
	return got != "" && got != d.ID
}

func (c *Conn) readHead(r *Request) (*http.Response, error) {
	c.asked.Method = r.Method
	for range maxInterim {
		resp, err := http.ReadResponse(c.reader, &c.asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInterim
}

// check refuses what cannot be told to be this request's whole answer.
func check(resp *http.Response, r *Request, exchange uint64) error {
	// A target that repeats the exchange number lets an answer that came too
	// late, or twice, be told from the one that is waited for.
	if got := resp.Header.Get(result.HeaderExchange); r.Dialect == nil && got != "" && !isExchange(got, exchange) {
		return errForeign
	}
	// A body that ends with the connection looks the same whether it is whole
	// or cut.
	closeDelimited := r.Dialect != nil && r.Dialect.CloseDelimited
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && hasBody(resp, r) && !closeDelimited {
		return errNoLength
	}
	return nil
}

func isExchange(text string, exchange uint64) bool {
	var digits [16]byte
	return text == string(appendExchange(digits[:0], exchange))
}

func hasBody(resp *http.Response, r *Request) bool {
	if r.Method == http.MethodHead {
		return false
	}
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// readBody returns the body and the bytes reserved for it.
func readBody(resp *http.Response, r *Request) ([]byte, int64, error) {
	if !hasBody(resp, r) {
		return nil, 0, nil
	}
	if resp.ContentLength > r.MaxResponseBytes {
		return nil, 0, errOverLimit
	}
	if resp.ContentLength >= 0 {
		return readKnown(resp, r)
	}
	return readChunked(resp, r)
}

func readKnown(resp *http.Response, r *Request) ([]byte, int64, error) {
	reserved := overFree(resp.ContentLength)
	if !take(r, reserved) {
		return nil, 0, errMemory
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		give(r, reserved)
		return nil, 0, err
	}
	return body, reserved, nil
}

func readChunked(resp *http.Response, r *Request) ([]byte, int64, error) {
	var body bytes.Buffer
	reserved := int64(0)
	for step := int64(UnreservedResponseBytes); ; step = stepBytes {
		_, err := io.CopyN(&body, resp.Body, step)
		if int64(body.Len()) > r.MaxResponseBytes {
			err = errOverLimit
		}
		if errors.Is(err, io.EOF) {
			return body.Bytes(), reserved, nil
		}
		if err == nil && !take(r, stepBytes) {
			err = errMemory
		}
		if err != nil {
			give(r, reserved)
			return nil, 0, err
		}
		reserved += stepBytes
	}
}

// overFree returns how much of an answer has to be reserved.
func overFree(length int64) int64 { return max(0, length-UnreservedResponseBytes) }

func take(r *Request, n int64) bool { return n == 0 || r.Memory == nil || r.Memory.Take(n) }

func give(r *Request, n int64) {
	if n > 0 && r.Memory != nil {
		r.Memory.Give(n)
	}
}

func isTimeout(err error) bool {
	var nerr net.Error
	return errors.As(err, &nerr) && nerr.Timeout()
}
