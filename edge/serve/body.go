package serve

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

func (c *conn) readBody(r *http.Request, in *incoming, limits Limits) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > limits.BodyBytes {
		return errBodyTooLong
	}
	if expects := r.Header.Get("Expect"); expects != "" {
		if expects != "100-continue" {
			return errExpectation
		}
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(max(limits.IdleTime, limits.HeaderTime)))
	if r.ContentLength >= 0 {
		return c.readFixedLength(r, in)
	}
	return c.readChunked(r, in, limits)
}

func (c *conn) readFixedLength(r *http.Request, in *incoming) error {
	if !c.reserve(in, r.ContentLength) {
		return errNoMemory
	}
	in.Body = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, in.Body)
	return err
}

// chunkedReservation is the step in which memory is reserved for a body of unknown length.
const chunkedReservation = 64 << 10

func (c *conn) readChunked(r *http.Request, in *incoming, limits Limits) error {
	var body bytes.Buffer
	for {
		if !c.reserve(in, chunkedReservation) {
			return errNoMemory
		}
		_, err := io.CopyN(&body, r.Body, chunkedReservation)
		if int64(body.Len()) > limits.BodyBytes {
			return errBodyTooLong
		}
		if errors.Is(err, io.EOF) {
			in.Body = body.Bytes()
			return nil
		}
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || isTimeout(err) {
				return err
			}
			return &badRequestError{cause: err}
		}
	}
}

func (c *conn) reserve(in *incoming, n int64) bool {
	if m := c.server.options.Memory; m != nil && !m.Take(n) {
		return false
	}
	in.reserved += n
	return true
}

// release returns the memory reserved for a request's body.
func (c *conn) release(in *incoming) {
	if m := c.server.options.Memory; m != nil && in.reserved > 0 {
		m.Give(in.reserved)
	}
	in.reserved = 0
}
