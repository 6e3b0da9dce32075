//go:build unix

package forward

import (
	"net"
	"syscall"
)

// IsIdle reports whether an idle connection is still open and silent. A target
// that closed it, or that sent a second answer nobody asked for, shows here,
// before a request is lost on it or the stray answer is taken for its own.
func (c *Conn) IsIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return c.probe == nil || c.probe.wouldBlock()
}

// probe looks at a connection's input without taking or awaiting any.
type probe struct {
	raw   syscall.RawConn
	look  func(fd uintptr) bool
	first [1]byte
	quiet bool
}

// newProbe returns nil if the connection is not one of the system's.
func newProbe(c net.Conn) *probe {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	p := &probe{}
	p.look = p.peek
	// A connection that is closed by now has no raw one and is never quiet.
	p.raw, _ = sc.SyscallConn()
	return p
}

// wouldBlock reads without waiting; only "nothing to read yet" is quiet.
func (p *probe) wouldBlock() bool {
	p.quiet = false
	return p.raw != nil && p.raw.Read(p.look) == nil && p.quiet
}

func (p *probe) peek(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), p.first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	p.quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	return true
}
