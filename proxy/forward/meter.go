package forward

import (
	"errors"
	"net"
)

// errOverLimit tells that an answer is longer than allowed.
var errOverLimit = errors.New("answer over the limit")

// meter bounds what is read from a connection during one exchange: without it
// an endless header would fill the memory.
type meter struct {
	conn net.Conn
	left int64
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, errOverLimit
	}
	if int64(len(p)) > m.left {
		p = p[:m.left]
	}
	n, err := m.conn.Read(p)
	m.left -= int64(n)
	return n, err
}
