// Package placing decides which target gets a request, which requests wait and
// which are refused. It is free of input and output: every call is given the
// time, so that tests replay a load exactly.
//
// # How targets are chosen
//
// A target works faster on an affinity key that it handled lately: it is warm for
// that key, and cold for all others. Each key therefore has an order of affinity
// targets in every region, by rendezvous hashing, the same at all VMs. A request goes
// to the one at which it is expected to end first: the network's delay, the wait for a
// slot, and the work. Requests in flight are counted over all VMs.
//
// # How requests wait
//
// They wait here and not at the targets, which get at most targetQueue requests
// beyond their slots: here the most urgent one goes first, and a caller that
// leaves frees its place at once.
package placing
