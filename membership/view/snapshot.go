package view

import (
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// Snapshot is the state of the VMs after one reading. It is immutable.
type Snapshot struct {
	// List holds the VMs that may be used: without duplicate IDs or addresses
	// and without VMs in hold-down.
	List membership.List
	// Version is incremented with each change of List or Absent.
	Version uint64
	// ReadAt is the time of the last successful read from the platform.
	ReadAt time.Time
	// Absent holds the VMs that were listed before and are not now, sorted by ID.
	Absent []AbsentVM
}

// AbsentVM is a VM that the platform no longer lists.
type AbsentVM struct {
	VM membership.VM
	// Since is the time of the first read without the VM, Confirmed that of
	// the last.
	Since     time.Time
	Confirmed time.Time
}

// Duration returns for how long the VM has been absent. It does not grow during
// an outage of the platform, since the VM may have returned in the meantime.
func (a AbsentVM) Duration() time.Duration {
	return a.Confirmed.Sub(a.Since)
}

// Age returns the time since the reading, by the wall clock or the monotonic
// clock, whichever advanced further: the monotonic clock may stop while the VM
// is suspended.
func (s *Snapshot) Age(now time.Time) time.Duration {
	return max(now.Sub(s.ReadAt), now.Round(0).Sub(s.ReadAt.Round(0)))
}
