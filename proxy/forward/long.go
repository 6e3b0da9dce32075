package forward

import (
	"context"
	"io"
	"time"
)

// sending is how a write ended.
type sending struct {
	written int64
	// took is the time of the writes.
	took time.Duration
	err  error
}

// runLong sends a long body and reads at the same time: a target that refuses
// an upload at its head stops reading, and its answer would never be seen by a
// sender that waits for the end of its own write.
func (c *Conn) runLong(ctx context.Context, r *Request, exchange uint64, left time.Duration) (*Response, error) {
	sent := make(chan sending, 1)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		end := c.send(sendCtx, r, exchange, left)
		if end.err != nil && end.written == 0 {
			// No answer can come; end the read.
			c.Close()
		}
		sent <- end
	}()
	answer, err := c.receive(ctx, r, exchange)
	end, whole := c.endSending(sent, cancel)
	if end.err != nil && end.written == 0 {
		return nil, newError(notSentCode(ctx, end.err), end.err)
	}
	if !whole {
		c.clean = false
		return answer, err
	}
	if answer != nil {
		answer.SendDuration = end.took
	}
	return answer, err
}

// endSending stops a write that is still under way, and reports whether all
// was written all the same.
func (c *Conn) endSending(sent <-chan sending, cancel func()) (end sending, whole bool) {
	select {
	case end = <-sent:
		return end, end.err == nil
	default:
	}
	cancel()
	_ = c.conn.SetWriteDeadline(longAgo)
	end = <-sent
	return end, end.err == nil
}

// sendAsItComes writes the head and the body of a request's source, and returns
// how that ended. Each piece is written when it is there and the
// one before it was taken.
//
// Guard against a body that never becomes whole: it shows as a target that
// waits for the rest until the deadline, in one of its slots. Reading the
// answer ends with the body, and the connection is not used again.
func (c *Conn) sendAsItComes(ctx context.Context, head []byte, r *Request) sending {
	var end sending
	end.write(c.conn, head)
	first := end.written
	for end.err == nil && end.written-first < r.Length {
		piece, err := r.BodySource.At(ctx, end.written-first)
		if err != nil {
			c.abort()
			end.err = err
			return end
		}
		end.write(c.conn, piece)
	}
	return end
}

// write counts one write in.
func (s *sending) write(to io.Writer, piece []byte) {
	began := time.Now()
	n, err := to.Write(piece)
	s.written += int64(n)
	s.took += time.Since(began)
	s.err = err
}
