// Package fairshare measures how much work the targets of a region do for each client account, and
// orders waiting requests by it. It does no I/O, takes the time as an argument and starts no
// goroutines. The caller of its methods serializes them.
//
// The order is that of start-time fair queueing: a request has as its tag the work of its account plus
// the expected service time of the waiting requests of its account before it. The work includes that
// which other VMs report, so that accounts get equal shares of a region whichever VMs their requests
// arrive at. Work decays: a share is one of the last seconds, and a past surge is forgotten.
package fairshare
