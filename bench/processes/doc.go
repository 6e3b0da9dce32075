// Package processes has a benchmark that runs real node processes and reads
// what they use from the system:
//
//	unshare --net sh -c 'ip link set lo up &&
//	  go test -run "^$" -bench Processes -timeout 20m ./bench/processes'
//
// The network namespace keeps other programs' traffic out of the counters of
// the loopback. It is not part of the tests that run with every change.
package processes
