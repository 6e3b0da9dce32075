// Package steering decides which share of each flow goes to which place. A
// flow is the traffic of one service from callers of one region. Decide is
// pure: it does no I/O, reads no clock and gives the same decision for the
// same input.
package steering
