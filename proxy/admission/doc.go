// Package admission limits the rate at which a node sends requests to one place
// to the node's grant for that place.
//
// In any window of length w a bucket admits at most rate*w + Burst(rate)
// requests, where rate is the highest rate in force in the window. The bursts of
// all nodes add up to at most BurstDuration times the sum of the grants, plus one
// request for each node that holds a grant.
package admission
