// Package measure runs a fleet of spreading services in one process, with real
// gRPC over the loopback interface, and measures how long a change takes to
// the last node and what spreading costs a node.
//
// All nodes share one process, so the processor time of a node is the whole
// process's divided by their number, the harness's own share included. Bytes
// are counted at the sockets; the network adds headers. The delay between
// regions is not played.
package measure
