package forward

import (
	"context"
	"time"
)

// sending is how a write ended.
type sending struct {
	written int64
	err     error
}

// runLong sends a long body and reads at the same time: a target that refuses
// an upload at its head stops reading, and its answer would never be seen by a
// sender that waits for the end of its own write.
func (c *Conn) runLong(ctx context.Context, r *Request, exchange uint64, left time.Duration) (*Answer, error) {
	sent := make(chan sending, 1)
	go func() {
		written, err := c.send(r, exchange, left)
		if err != nil && written == 0 {
			// No answer can come; end the read.
			c.Close()
		}
		sent <- sending{written: written, err: err}
	}()
	answer, err := c.receive(ctx, r, exchange)
	end, whole := c.endSending(sent)
	if end.err != nil && end.written == 0 {
		return nil, newError(notSentCode(ctx, end.err), end.err)
	}
	if !whole {
		c.clean = false
	}
	return answer, err
}

// endSending stops a write that is still under way, and reports whether all
// was written all the same.
func (c *Conn) endSending(sent <-chan sending) (end sending, whole bool) {
	select {
	case end = <-sent:
		return end, end.err == nil
	default:
	}
	_ = c.conn.SetWriteDeadline(longAgo)
	end = <-sent
	return end, end.err == nil
}
