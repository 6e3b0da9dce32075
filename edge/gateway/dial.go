package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

const (
	// connectMargin is how long a connection may take beyond its round trips: a
	// busy target takes a millisecond, a first lost packet a second.
	connectMargin = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay without an acknowledgement. A
	// target without power gives none; three lost packets in a row take 600 ms.
	unackedTimeout = 900 * time.Millisecond
)

// dialer opens connections to targets at a network delay there and back.
func dialer(delay time.Duration) pool.Dial {
	d := net.Dialer{
		Timeout:   connectMargin + 2*delay,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			control := raw.Control(func(fd uintptr) {
				millis := int((unackedTimeout + 2*delay).Milliseconds())
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
			})
			if control != nil {
				return control
			}
			return err
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp4", address)
	}
}
