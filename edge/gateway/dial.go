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
	// connectMargin is added to the round trips for the connect timeout. It covers a busy
	// target, which takes a millisecond, and not the retransmission of a lost SYN, which takes
	// a second.
	connectMargin = 250 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged, besides the round trips.
	// It detects a target without power, and tolerates three lost packets in a row, which take
	// 600 ms.
	unackedTimeout = 900 * time.Millisecond
)

// dialer returns a TCP dial function for targets at a given round-trip time.
func dialer(rtt time.Duration) pool.Dial {
	d := net.Dialer{
		Timeout:   connectMargin + 2*rtt,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				millis := int((unackedTimeout + 2*rtt).Milliseconds())
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp4", address)
	}
}
