// Package admission bounds the rate at which a node sends work to one place
// by the node's grant for it.
//
// In any window of length w a bucket admits at most rate*w + Burst(rate)
// requests, where rate is the highest amount in force in the window. The sum
// of the bursts of all nodes is at most BurstTime of the summed grants, plus
// one request for each node that holds a grant.
package admission
