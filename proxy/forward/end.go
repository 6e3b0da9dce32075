package forward

import (
	"errors"
	"syscall"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// connState is what the kernel tells of the peer's stream.
type connState uint8

const (
	// stateUnknown: the connection has no socket, or the platform does not tell.
	stateUnknown connState = iota
	// open: the peer has not ended its stream.
	open
	// endedByPeer: the peer has ended its stream, and nothing has failed since.
	endedByPeer
	// closed: the connection is no more, by a reset or a timeout.
	closed
)

// streamEnd is what is known of a connection once reads return the end of its stream. That alone proves nothing: a
// socket reports its error once, and a reset that a write has reported looks like an end to the next read.
type streamEnd struct {
	state connState
	// failure is the first error that the socket reported, 0 if there is none.
	failure syscall.Errno
}

// inOrder reports whether the peer ended its stream before anything failed on the connection.
func (e streamEnd) inOrder() bool {
	switch e.state {
	case endedByPeer:
		return true
	case closed:
		// Of a reset, Linux reports EPIPE if the peer had ended its stream before, ECONNRESET if not.
		return e.failure == syscall.EPIPE
	case stateUnknown:
		return e.failure == 0
	}
	return false
}

// verifyEnd returns the response, or an error if it ended with its connection and that was not in order. The
// request has been sent as far as it will be.
func (c *Conn) verifyEnd(r *Request, resp *Response, sent sendResult) (*Response, error) {
	if !resp.endedWithConn || c.endOfStream(sent.failure).inOrder() {
		return resp, nil
	}
	release(r, resp.ReservedBytes)
	return nil, newError(result.AnswerTruncated, errNoEnd)
}

// endOfStream reads how the connection ended. failure is the error of a write, 0 if none failed.
func (c *Conn) endOfStream(failure syscall.Errno) streamEnd {
	state, pending := socketState(c.conn)
	if failure == 0 {
		failure = pending
	}
	return streamEnd{state: state, failure: failure}
}

// socketError returns the error that the kernel reported, 0 if err is of another kind.
func socketError(err error) syscall.Errno {
	if err == nil {
		return 0
	}
	var errno syscall.Errno
	errors.As(err, &errno)
	return errno
}
