package gateway

import (
	"context"
	"net"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/peerwatch"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

const (
	// connectMargin is added to the round trips for the connect timeout. It covers a busy
	// target, which takes a millisecond, and not the retransmission of a lost SYN, which takes
	// a second.
	connectMargin = 250 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged, besides the round trips.
	// It detects a target without power, and tolerates three lost packets in a row, which take
	// 600 ms. A target that does not read acknowledges what it has room for.
	unackedTimeout = 900 * time.Millisecond
)

// dialer returns a TCP dial function for targets at a given round-trip time.
func dialer(rtt time.Duration) pool.Dial {
	o := peerwatch.Options{
		Dialer:  net.Dialer{Timeout: connectMargin + 2*rtt, KeepAlive: -1},
		Timeout: unackedTimeout + 2*rtt,
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := peerwatch.Dial(ctx, address, o)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}
