package transport

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"
)

// Limits of connections between nodes.
const (
	// MaxMessageBytes bounds one message: a chunk of 256 KiB followed by one
	// item of the maximum size, 3 MiB.
	MaxMessageBytes = 4 << 20
	// MaxStreams bounds the concurrent calls on one connection.
	MaxStreams = 64

	pingInterval    = 10 * time.Second
	pingTimeout     = 5 * time.Second
	minPingInterval = 5 * time.Second

	reconnectBase   = 200 * time.Millisecond
	reconnectMax    = 5 * time.Second
	reconnectJitter = 0.5
	reconnectGrowth = 1.6
	connectTimeout  = 3 * time.Second

	// idleAfter closes idle connections, such as those to random peers. The
	// library's default of half an hour would keep many of them open on each
	// node of a large fleet.
	idleAfter = time.Minute

	// windowBytes is the initial flow control window of a stream.
	windowBytes = 64 << 10
	// bufferBytes limits the memory of mostly idle connections.
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
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval}),
	}
}

// DialOptions returns the options for connections to other nodes, without
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
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithConnectParams(connectParams()),
	}
}

// connectParams jitters reconnects, so that the nodes of a failure domain do
// not dial a returning relay simultaneously.
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
