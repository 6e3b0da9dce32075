package forward

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/yuccaroute/yuccaroute/api/responsehead"
)

const (
	// maxHeadLines bounds the lines of a head. Once parsed, a short field takes many times its bytes.
	maxHeadLines = 512
	// maxPooledHeadBytes bounds the copies that are kept for other heads.
	maxPooledHeadBytes = 16 << 10
)

// headCopy copies the lines of a response's head as they are read. Bytes behind the head are left out.
type headCopy struct {
	buffer bytes.Buffer
	// end is where the last complete line ends, in bytes.
	end   int
	lines int
	// complete is set behind the empty line that ends the head.
	complete bool
}

var headCopies = sync.Pool{New: func() any { return new(headCopy) }}

// add adds bytes that were read. It returns false if there are too many lines.
func (h *headCopy) add(p []byte) bool {
	if h.complete {
		return true
	}
	h.buffer.Write(p)
	for h.lines <= maxHeadLines {
		rest := h.buffer.Bytes()[h.end:]
		length := bytes.IndexByte(rest, '\n')
		if length < 0 {
			return true
		}
		h.end += length + 1
		if length == 0 || length == 1 && rest[0] == '\r' {
			h.complete = true
			return true
		}
		h.lines++
	}
	return false
}

// bytes returns the complete lines.
func (h *headCopy) bytes() []byte { return h.buffer.Bytes()[:h.end] }

// free resets the copy for another head.
func (h *headCopy) free() {
	if h.buffer.Cap() > maxPooledHeadBytes {
		return
	}
	h.buffer.Reset()
	h.end, h.lines, h.complete = 0, 0, false
	headCopies.Put(h)
}

// readHead reads the head of the next response and checks it. Nothing of a malformed one counts, since a line that HTTP
// does not allow may have been meant to frame the body, and its sender is in trouble.
func (c *Conn) readHead() (*http.Response, error) {
	head := headCopies.Get().(*headCopy)
	defer head.free()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if !head.add(buffered) {
		return nil, errResponseTooLarge
	}
	c.limited.head = head
	resp, err := http.ReadResponse(c.reader, &c.pendingRequest)
	c.limited.head = nil
	if err != nil {
		return nil, err
	}
	if err := responsehead.Check(resp); err != nil {
		return nil, err
	}
	if err := responsehead.CheckLines(resp, head.bytes()); err != nil {
		return nil, err
	}
	return resp, nil
}
