// Package steering decides which share of each flow goes to which place. A flow
// is the traffic of one service from the callers of one region. Decide is a pure
// function: it does no I/O, reads no clock and is deterministic.
package steering
