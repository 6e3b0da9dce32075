// Package returns keeps the promises that a VM has made to refused callers: the times at which
// they are served if they come back. It does no I/O, takes the time as an argument and starts no
// goroutines. The caller of its methods serializes them.
//
// # Who comes back
//
// A repeated request has a new request id. It is recognized by its affinity key and rank, and by
// the time at which its caller gives up: callers state the time that they have left, so that all
// tries of one caller give up at the same moment. Callers that state none, or start anew with
// each try, are counted: a key has as many places as promises were made to it.
package returns
