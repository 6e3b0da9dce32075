package forward

import (
	"errors"
	"net"
)

var errResponseTooLarge = errors.New("response exceeds the size limit")

// limitedReader bounds the bytes read during one exchange, since the header
// parser itself has no limit.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	// head copies what is read while a head is read, nil otherwise.
	head *headCopy
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
	l.remaining -= int64(n)
	if l.head != nil && !l.head.add(p[:n]) {
		return 0, errResponseTooLarge
	}
	return n, err
}
