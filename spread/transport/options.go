package transport

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"
)

// Limits of a connection between nodes.
const (
	// MaxMessageBytes bounds one message. A message holds at most one chunk of
	// 256 KiB and one item of the largest size, 3 MiB, beyond it.
	MaxMessageBytes = 4 << 20
	// MaxStreams bounds the calls in progress on one connection.
	MaxStreams = 64

	pingAfter    = 10 * time.Second
	pingTimeout  = 5 * time.Second
	minPingEvery = 5 * time.Second

	reconnectBase   = 200 * time.Millisecond
	reconnectMax    = 5 * time.Second
	reconnectJitter = 0.5
	reconnectGrowth = 1.6
	connectTimeout  = 3 * time.Second

	// idleAfter closes the connection to a peer that was compared with by
	// chance. The library's half hour would keep some 60 of them on each node
	// of a large fleet, each with its memory and its pings.
	idleAfter = time.Minute

	// windowBytes is the first flow control window of a stream; the library
	// raises it for a connection that carries more.
	windowBytes = 64 << 10
	// bufferBytes keeps the memory of a connection that is mostly idle small.
	bufferBytes = 4 << 10
)

// ServerOptions returns the options of a node's gRPC server.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.MaxConcurrentStreams(MaxStreams),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingEvery}),
	}
}

// DialOptions returns the options of connections to other nodes, without
// credentials.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleAfter),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.WithConnectParams(connectParams()),
	}
}

// connectParams jitters reconnects: without it all nodes of a failure domain
// would dial a relay that returns at the same moments.
func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  reconnectBase,
			Multiplier: reconnectGrowth,
			Jitter:     reconnectJitter,
			MaxDelay:   reconnectMax,
		},
		MinConnectTimeout: connectTimeout,
	}
}
