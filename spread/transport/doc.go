// Package transport provides the gRPC settings for connections between nodes,
// and a pool with one connection per peer. Client and server keepalive settings
// must match: a server closes connections of clients that ping more often than
// it permits.
package transport
