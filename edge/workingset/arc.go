// Package workingset decides which affinity keys a region serves while the requests that may run only
// there are more work than its targets carry. Targets are faster on keys that they handled lately and
// keep few of them, so that a region which serves all keys may run every request cold.
//
// The admitted keys of a service are those on an arc of a hash ring. The arc turns, so that each key is
// admitted for an equal part of the time. One VM of the region decides the length of the arcs from the
// load that all VMs measure, and the others turn the arcs that they have received by their own clocks. The
// package does no I/O and reads no clock.
package workingset

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ScopeID identifies a service in a region, identically on all VMs.
type ScopeID uint32

// ScopeOf returns the ID of a service in a region.
func ScopeOf(service, region string) ScopeID {
	return ScopeID(xxhash.Sum64String(service+"\x00"+region) >> 32)
}

// Arc is the set of admitted keys: those whose position on the ring is at most Fraction ahead of Start.
// Both are parts of the ring, Start from 0 to 1.
type Arc struct{ Start, Fraction float64 }

// Whole is the arc that admits all keys.
var Whole = Arc{Fraction: 1}

// Admits reports whether the hash of a key lies on the arc.
func (a Arc) Admits(key uint64) bool {
	return a.Fraction >= 1 || ahead(a.Start, position(key)) < a.Fraction
}

// Passed reports whether the start of the arc has passed a key within a time, if the arc turns once in period.
// Such a key has left at the end of its turn, others leave or stay out because the fraction is too small.
func (a Arc) Passed(key uint64, within, period time.Duration) bool {
	return !a.Admits(key) && ahead(position(key), a.Start) <= float64(within)/float64(period)
}

// Turn returns when a key is next admitted if the arc turns once in period, 0 if it is admitted.
func (a Arc) Turn(key uint64, period time.Duration) time.Duration {
	if a.Admits(key) {
		return 0
	}
	// A key at the very front of the arc is admitted next, and not now.
	return max(1, time.Duration((ahead(a.Start, position(key))-a.Fraction)*float64(period)))
}

// position returns the place of a hash on the ring, from 0 to 1.
func position(key uint64) float64 { return float64(key>>11) / (1 << 53) }

// ahead returns how far the ring must turn from one position to another.
func ahead(from, to float64) float64 {
	d := to - from
	return d - math.Floor(d)
}
