//go:build unix

package forward

import (
	"syscall"
)

// Quiet reports whether an idle connection is still open and silent. A target
// that closed it, or that sent a second answer nobody asked for, shows here,
// before a request is lost on it or the stray answer is taken for its own.
func (c *Conn) Quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return wouldBlock(raw)
}

// wouldBlock reads without waiting; only "nothing to read yet" is quiet.
func wouldBlock(raw syscall.RawConn) bool {
	quiet := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
