// Package placing selects a target for each request, queues requests while all
// targets are busy, and rejects those that cannot be served in time. It does no I/O and
// takes the current time as an argument, so that tests can replay a load deterministically.
//
// # Target selection
//
// A target is warm for the affinity keys that it handled recently and serves them faster
// than other keys, for which it is cold. Rendezvous hashing ranks the targets of each
// region for a key, identically on all VMs. Of the highest ranked targets, a request goes
// to the one with the lowest expected completion time: network round trip, wait for a slot,
// and service time. In-flight counts include the requests of all VMs.
//
// # Queueing
//
// Requests queue on the VM and not at the targets, which get at most targetQueue requests
// beyond their slots. The VM serves the most urgent request first and drops a request as
// soon as its caller disconnects.
package placing
