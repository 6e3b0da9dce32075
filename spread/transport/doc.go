// Package transport holds the gRPC settings that all nodes use between each
// other, and a pool with one connection for each peer. Server and client must
// agree on the keepalive times: a server closes connections of clients that
// ping more often than it permits.
package transport
