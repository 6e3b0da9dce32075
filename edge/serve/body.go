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
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(max(limits.IdleTime, limits.HeaderTime)))
	if r.ContentLength >= 0 {
		return c.readKnown(r, in)
	}
	return c.readChunks(r, in, limits)
}

func (c *conn) readKnown(r *http.Request, in *incoming) error {
	if !c.hold(in, r.ContentLength) {
		return errNoMemory
	}
	in.Body = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, in.Body)
	return err
}

// chunkStep is how much memory a body of unknown length reserves at once.
const chunkStep = 64 << 10

func (c *conn) readChunks(r *http.Request, in *incoming, limits Limits) error {
	var body bytes.Buffer
	for {
		if !c.hold(in, chunkStep) {
			return errNoMemory
		}
		_, err := io.CopyN(&body, r.Body, chunkStep)
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
			return &badRequest{cause: err}
		}
	}
}

// hold reserves memory for a body.
func (c *conn) hold(in *incoming, n int64) bool {
	if m := c.server.options.Memory; m != nil && !m.Take(n) {
		return false
	}
	in.held += n
	return true
}

// drop frees what a request reserved.
func (c *conn) drop(in *incoming) {
	if m := c.server.options.Memory; m != nil && in.held > 0 {
		m.Give(in.held)
	}
	in.held = 0
}
