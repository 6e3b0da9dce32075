package peerwatch

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// info is what the kernel knows of a connection's peer. Source: TCP_INFO.
type info struct {
	// unacked is the number of segments that are sent and not acknowledged, unsent the number of bytes that
	// wait for the peer's receive window.
	unacked, unsent int
	// heardAgo is the time since the last acknowledgement, in whole milliseconds; 0 if the platform does not
	// tell it.
	heardAgo time.Duration
	// window is the peer's receive window, in bytes.
	window int
}

// outstanding reports whether the peer owes an acknowledgement.
func (i info) outstanding() bool { return i.unacked > 0 || i.unsent > 0 }

// windowClosed reports whether the peer has no room for more: all that its window allowed is acknowledged, or it
// has shrunk the window since and answers what is in flight without taking it.
func (i info) windowClosed() bool {
	if i.unacked == 0 {
		return i.unsent > 0
	}
	return i.window == 0 && i.heardAgo > 0
}

func readInfo(raw syscall.RawConn) (i info, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		var t *unix.TCPInfo
		if t, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			return
		}
		i = info{
			unacked: int(t.Unacked), unsent: int(t.Notsent_bytes), heardAgo: time.Duration(t.Last_ack_recv) * time.Millisecond,
			window: int(t.Snd_wnd),
		}
	})
	if controlErr != nil {
		return i, controlErr
	}
	return i, err
}

// setUserTimeout sets how long sent data may stay unacknowledged; 0 means the kernel's limit of retransmissions.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
