//go:build unix

package forward

import (
	"net"
	"syscall"
)

// IsIdle reports whether the connection is open and has no unread data. It
// detects a close by the target and an unsolicited response before the
// connection is reused.
func (c *Conn) IsIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return c.probe == nil || c.probe.wouldBlock()
}

// idleProbe checks for input without consuming it or blocking.
type idleProbe struct {
	raw      syscall.RawConn
	peekFunc func(fd uintptr) bool
	buf      [1]byte
	idle     bool
}

// newIdleProbe returns nil if the connection has no file descriptor.
func newIdleProbe(c net.Conn) *idleProbe {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	p := &idleProbe{}
	p.peekFunc = p.peek
	// A closed connection has no raw connection and is never reported idle.
	p.raw, _ = sc.SyscallConn()
	return p
}

// wouldBlock reports whether the connection is open with nothing to read.
func (p *idleProbe) wouldBlock() bool {
	p.idle = false
	return p.raw != nil && p.raw.Read(p.peekFunc) == nil && p.idle
}

func (p *idleProbe) peek(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), p.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	p.idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	return true
}
