package forward

import (
	"bytes"
	"errors"
	"net"
)

var errResponseTooLarge = errors.New("response exceeds the size limit")

// limitedReader bounds the bytes read during one exchange, since the header
// parser itself has no limit.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	// copyTo gets a copy of what is read, unless it is nil.
	copyTo *bytes.Buffer
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
	if l.copyTo != nil {
		l.copyTo.Write(p[:n])
	}
	return n, err
}
