// Package processes has a benchmark that runs real node processes and reads
// what they use from the system:
//
//	unshare --net sh -c 'ip link set lo up &&
//	  go test -run "^$" -bench Processes -timeout 20m ./bench/processes'
//
// Likewise with -bench InForce: the time from an accepted change until the last
// node has it in force, at 10 to 60 processes, about 80 s each. It fails if a
// change is lost, or takes more calls of the store than it may.
//
// The network namespace keeps other programs' traffic out of the counters of
// the loopback. It is not part of the tests that run with every change.
package processes
