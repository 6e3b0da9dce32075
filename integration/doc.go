// Package integration holds tests of the real programs: entry VMs, targets and
// the platform's stand-in run as processes on loopback, with a fault-injecting
// proxy on the paths between them, and the checker of bench/check decides
// whether every promise was kept. The package has no code of its own.
package integration
