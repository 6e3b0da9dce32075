package measure

import (
	"context"
	"time"
)

// Delays are times from a change at the store to the last node that lives.
type Delays struct {
	Count int
	P50   time.Duration
	P99   time.Duration
	Max   time.Duration
	// Lost counts changes that some node lacked after the longest wait.
	Lost int
}

// Cost is what spreading took in one phase, a second.
type Cost struct {
	// BytesPerNode is sent and received, the mean over all nodes, and
	// BytesWorstNode that of the node with the most.
	BytesPerNode   float64
	BytesWorstNode float64
	// MessagesPerNode is writes to sockets, the mean over all nodes.
	MessagesPerNode float64
	// BytesAcross is sent between regions, both ways, by all nodes.
	BytesAcross    float64
	MessagesAcross float64
	// ConnectionsPerNode is how many were open at the end, at both ends.
	ConnectionsPerNode float64
	// CPUPerNode is seconds of processor time a second, a node.
	CPUPerNode float64
}

// Point is everything measured on one fleet.
type Point struct {
	Nodes int
	// Watchers is how many nodes watch the store.
	Watchers int
	// FormedAfter is the time from the start of all nodes at once until all
	// were ready and had every item.
	FormedAfter time.Duration
	// HeapPerNode is the live heap a node, in bytes.
	HeapPerNode float64

	Quiet  Delays
	Killed Delays
	Hung   Delays

	Idle Cost
	Busy Cost
}

// Result holds one point for each size.
type Result struct {
	Points []Point
}

// Measure runs one fleet after the other.
func Measure(ctx context.Context, sizes []int, config Config) (Result, error) {
	var out Result
	for _, size := range sizes {
		config.Nodes = size
		p, err := Run(ctx, config)
		if err != nil {
			return out, err
		}
		out.Points = append(out.Points, p)
	}
	return out, nil
}
