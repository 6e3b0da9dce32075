package forward

import (
	"context"
	"io"
	"syscall"
	"time"
)

// sendResult describes how writing a request ended.
type sendResult struct {
	written int64
	// duration is the time spent in writes.
	duration time.Duration
	err      error
	// failure is the error that the socket reported to a write, 0 if none.
	failure syscall.Errno
}

// exchangeConcurrently sends the body while reading the response: a target that
// rejects an upload early stops reading, and a sequential write would block
// until the deadline.
func (c *Conn) exchangeConcurrently(ctx context.Context, r *Request, exchangeID uint64, timeout time.Duration) (*Response, error) {
	done := make(chan sendResult, 1)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		res := c.send(sendCtx, r, exchangeID, timeout)
		if res.err != nil && res.written == 0 {
			// No response will arrive; unblock the read.
			c.Close()
		}
		done <- res
	}()
	resp, err := c.receive(ctx, r, exchangeID)
	res, complete := c.stopSending(done, cancel)
	c.trace.Written = res.written
	if res.err != nil && res.written == 0 {
		return nil, newUnsent(codeBeforeSend(ctx, res.err), res.err)
	}
	if !complete {
		c.reusable = false
	}
	if err != nil {
		return nil, err
	}
	if complete {
		resp.SendDuration = res.duration
	}
	return c.verifyEnd(r, resp, res)
}

// stopSending aborts an unfinished write and reports whether the whole request
// was written.
func (c *Conn) stopSending(done <-chan sendResult, cancel func()) (res sendResult, complete bool) {
	select {
	case res = <-done:
		return res, res.err == nil
	default:
	}
	cancel()
	_ = c.conn.SetWriteDeadline(pastDeadline)
	res = <-done
	return res, res.err == nil
}

// sendStreamed writes the header, then the body as it becomes available. If the
// body source fails, the exchange is aborted, so that the target does not hold
// a slot for the missing bytes.
func (c *Conn) sendStreamed(ctx context.Context, header []byte, r *Request) sendResult {
	var res sendResult
	res.write(c.conn, header)
	headerBytes := res.written
	for res.err == nil && res.written-headerBytes < r.Length {
		data, err := r.BodySource.At(ctx, res.written-headerBytes)
		if err != nil {
			c.abort()
			res.err = err
			return res
		}
		res.write(c.conn, data)
	}
	return res
}

// write writes data and records the bytes and time.
func (s *sendResult) write(w io.Writer, data []byte) {
	start := time.Now()
	n, err := w.Write(data)
	s.written += int64(n)
	s.duration += time.Since(start)
	s.err, s.failure = err, socketError(err)
}
