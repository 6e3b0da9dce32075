package forward

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states of the kernel. Source: include/net/tcp_states.h.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// socketState returns the state of the peer's stream and the error that the socket has not reported yet, which it
// takes. Source: TCP_INFO, SO_ERROR.
func socketState(c net.Conn) (state connState, pending syscall.Errno) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateUnknown, 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closed, 0
	}
	err = raw.Control(func(fd uintptr) {
		state, pending = readSocketState(int(fd))
	})
	if err != nil {
		return closed, 0
	}
	return state, pending
}

func readSocketState(fd int) (connState, syscall.Errno) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return stateUnknown, 0
	}
	switch info.State {
	case tcpCloseWait:
		return endedByPeer, 0
	case tcpClose:
		pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil {
			return closed, 0
		}
		return closed, syscall.Errno(pending)
	}
	return open, 0
}
