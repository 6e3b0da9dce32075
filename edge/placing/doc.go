// Package placing decides which target gets a request, which requests wait and
// which are refused. It is free of input and output: every call is given the
// time, so that tests replay a load exactly.
//
// # How targets are chosen
//
// A target works about three times faster on an object that it handled lately.
// Each object therefore has an order of targets in every region, a hash that all
// VMs compute alike. A request goes to the target at which it is expected to end
// first: the network's delay, the wait for a slot, and the work, which is longer
// where the object is not known. Requests in hand are counted over all VMs.
//
// # How requests wait
//
// They wait here and not at the targets, which keep at most overfill requests
// beyond their slots: here the most urgent one goes first, and a caller that
// leaves frees its place at once.
package placing
